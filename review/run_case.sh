#!/usr/bin/env bash
# Runs a case: run_case.sh PROGRAM RECORD. The program writes what was sent, answered and run to the record. Ends all processes that the
# case started. Exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run.
set -uo pipefail
root=$(cd "$(dirname "$0")/.." && pwd)
record=$(cd "$(dirname "$2")" && pwd)/$(basename "$2")
cd "$root" || exit 2
program=target/review/$1
# No record of an earlier run is left if this one cannot run.
: >"$record" || exit 2
if [ ! -x target/skylarkhitchd ] || [ ! -x "$program" ]; then
    echo "build first: the build of deploy/system.toml, then review/build.sh" | tee -a "$record" >&2
    exit 2
fi
CASE_TMP=$(mktemp -d) || exit 2
export CASE_TMP
# A process group of its own, by which everything that the case started is ended.
set -m
timeout -k 2 110 "$program" "$record" &
group=$!
trap 'kill -KILL -- "-$group" 2>/dev/null; rm -rf "$CASE_TMP"' EXIT
trap 'exit 2' INT TERM HUP
wait "$group"
status=$?
[ "$status" -le 2 ] || status=2
exit "$status"
