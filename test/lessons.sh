#!/usr/bin/env bash
# Runs the lessons: the commands of each page, compared with the output that the page shows (indented by four).
# usage: test/lessons.sh BINARY_DIRECTORY
set -euo pipefail
bin=$1
lessons=$(cd "$(dirname "$0")/../docs/lessons" && pwd)
export PATH="$bin:$PATH"
work=$(mktemp -d)
source "$(dirname "$0")/../tools/processes.sh"

start_standin engine --version small-1; ENGINE=$address
start_standin service; SERVICE=$address
failed=0
for page in "$lessons"/*.md; do
    mkdir -p "$work/run"
    cd "$work/run"
    awk '/^```bash$/ { on = 1; next } /^```$/ { on = 0 } on' "$page" >commands
    awk '/^```/ { fence = !fence } !fence && /^    / { print substr($0, 5) }' "$page" >expected
    # Trailing blanks of tables do not count.
    (source ./commands) 2>&1 | sed 's/ *$//' >found || true
    if diff expected found; then echo "$(basename "$page"): as written"; else echo "$(basename "$page"): differs"; failed=1; fi
    cd "$work"
    rm -rf run
done
exit "$failed"
