#!/bin/bash
# 1: the rule was broken; 0: it held; 2: the case could not run. TROUBLE=0: no channel is reset.
. "$(dirname "$0")/../run-case.sh"
run_case refused
