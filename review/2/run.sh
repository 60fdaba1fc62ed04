#!/bin/bash
# 1: the rule was broken; 0: it held; 2: the case could not run. TROUBLE=0: no worker starts again or is cut off.
. "$(dirname "$0")/../run-case.sh"
run_case twice
