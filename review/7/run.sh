#!/usr/bin/env bash
# Plays case 7 with the program of the deploy file's build and the stand-ins of review/build-2.sh.
# Exits with 1 if the rule was broken, 0 if it held and 2 if the case could not run; TROUBLE=0 leaves the disruption out.
here=$(cd "$(dirname "$0")" && pwd)
program=target/review-2/case-7
cd "$here/../.." || exit 2
[ -x "$program" ] && [ -x target/release/pistachiolane ] && [ -x target/release/lab ] || { echo "build first: the deploy file's build and review/build-2.sh"; exit 2; }
# The case and all processes that it starts are one process group.
set -m
RECORD="$here/record.txt" timeout -k 1 115 "$program" &
group=$!
wait "$group"
code=$?
kill -KILL -- "-$group" 2>/dev/null
[ "$code" -le 2 ] || code=2
exit "$code"
