#!/usr/bin/env bash
# Runs a case: run_case.sh DIRECTORY PROGRAM. Ends all processes that the case started. Exits with 1 if the rule was broken, 0 if it held,
# and 2 if the case could not run.
set -uo pipefail
root=$(cd "$(dirname "$0")/.." && pwd)
directory=$(cd "$1" && pwd)
cd "$root" || exit 2
program=target/review/$2
if [ ! -x target/skylarkhitchd ] || [ ! -x "$program" ]; then
    echo "build first: the build of deploy/system.toml, then review/build.sh" >&2
    exit 2
fi
CASE_TMP=$(mktemp -d) || exit 2
export CASE_TMP
# A process group of its own, by which everything that the case started is ended.
set -m
timeout -k 2 110 "$program" "$directory" &
group=$!
trap 'kill -KILL -- "-$group" 2>/dev/null; rm -rf "$CASE_TMP"' EXIT
wait "$group"
status=$?
[ "$status" -le 2 ] || status=2
exit "$status"
