#!/usr/bin/env bash
# Runs the commands of each page in docs/lessons and compares their output with the output on the page (lines indented by four).
# usage: test/lessons.sh BINARY_DIRECTORY
set -euo pipefail
bin=$1
lessons=$(cd "$(dirname "$0")/../docs/lessons" && pwd)
export PATH="$bin:$PATH"
work=$(mktemp -d)
source "$(dirname "$0")/../tools/processes.sh"

# Prints the process ids of daemons and stand-ins whose working directory is below $1.
project_processes_below() {
    for pid in $(pgrep -x 'skylarkhitchd|skylarkhitch-st'); do
        case $(readlink "/proc/$pid/cwd") in "$1"*) echo "$pid" ;; esac
    done
}

start_standin engine --version small-1; ENGINE=$address
start_standin service; SERVICE=$address
failed=0
for page in "$lessons"/*.md; do
    mkdir -p "$work/run"
    cd "$work/run"
    awk '/^```bash$/ { on = 1; next } /^```$/ { on = 0 } on' "$page" >commands
    awk '/^```/ { fence = !fence } !fence && /^    / { print substr($0, 5) }' "$page" >expected
    # Each lesson runs in a subshell, which terminates the processes that the lesson started. Trailing spaces in tables are ignored.
    (pids=(); trap end_started EXIT; source ./commands) 2>&1 | sed 's/ *$//' >found || true
    if diff expected found; then echo "$(basename "$page"): as written"; else echo "$(basename "$page"): differs"; failed=1; fi
    cd "$work"
    leftover=$(project_processes_below "$work/run")
    if [ -n "$leftover" ]; then echo "$(basename "$page"): left processes running: $leftover"; kill -KILL $leftover; failed=1; fi
    rm -rf run
done
exit "$failed"
