#!/usr/bin/env bash
# Runs the program of a case: run_case.sh PROGRAM RECORD. Exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not
# run. With TROUBLE=0 the disruption is left out. What the program started ends with it, also if this script is ended from outside.
cd "$(dirname "$0")/../.." || exit 2
program=build/review-3/$1
record=$2
rm -f "$record"
[ -x "$program" ] && [ -x target/skylarkhitchd ] || { echo "the daemon or the stand-ins are not built" >&2; exit 2; }
directory=$(mktemp -d) || exit 2
pid=
trap '[ -z "$pid" ] || { kill -TERM "$pid"; wait "$pid"; } 2>/dev/null; rm -rf "$directory"' EXIT
trap 'exit 2' INT TERM HUP
TMPDIR=$directory timeout -k 5 110 "$program" "$record" &
pid=$!
wait "$pid"
status=$?
pid=
[ "$status" -le 2 ] || status=2
exit "$status"
