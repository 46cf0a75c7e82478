#!/bin/sh
# Runs cases without their disruption, then five times with it; prints the exit codes.
cd "$(dirname "$0")/.." || exit 2
for n in "$@"; do
    TROUBLE=0 "./$n/run.sh" >/dev/null 2>&1
    without=$?
    codes=""
    for i in 1 2 3 4 5; do
        "./$n/run.sh" >/dev/null 2>&1
        codes="$codes $?"
    done
    echo "case $n: without the disruption $without; with it$codes"
done
