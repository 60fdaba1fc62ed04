#!/bin/bash
# Plays the case with the built program and the stand-ins of review/build-3.sh.
# Ends with 1 if the rule was broken, 0 if it held, 2 if the case could not be played.
here="$(cd "$(dirname "$0")" && pwd)"
cd "$here/../.." || exit 2
[ -x target/release/rosemarygauge ] && [ -x target/review-3/cases ] || exit 2
folder="$(mktemp -d)" || exit 2
target/review-3/cases 9 "$folder" "$here/record.txt"
code=$?
rm -rf "$folder"
case $code in 0|1) exit $code ;; *) exit 2 ;; esac
