#!/usr/bin/env bash
# Runs the lessons: the commands of each page, compared with the output that the page shows (indented by four).
# usage: test/lessons.sh BINARY_DIRECTORY
set -euo pipefail
bin=$1
lessons=$(cd "$(dirname "$0")/../docs/lessons" && pwd)
export PATH="$bin:$PATH"
work=$(mktemp -d)
pids=()
finish() {
    for it in "${pids[@]}"; do kill -TERM "$it" 2>/dev/null || true; done
    wait 2>/dev/null || true
    rm -rf "$work"
}
trap finish EXIT

# Waits for the first line of a file.
first_line() {
    for _ in $(seq 200); do [ -s "$1" ] && break; sleep 0.05; done
    head -1 "$1"
}
start_standin() {
    "$bin/test/skylarkhitch-standin" "$@" >"$work/standin-${#pids[@]}" &
    pids+=("$!")
    address=127.0.0.1:$(first_line "$work/standin-$((${#pids[@]} - 1))")
}
start_instance() {
    local out="$work/ready-${#pids[@]}"
    skylarkhitchd --settings "$1" >"$out" 2>/dev/null &
    pids+=("$!")
    read -r _ CALLERS OPERATORS _ <<<"$(first_line "$out")"
    CALLERS=${CALLERS#callers=} OPERATORS=${OPERATORS#operators=}
    for _ in $(seq 200); do curl -sf "http://$CALLERS/readyz" >/dev/null && break; sleep 0.05; done
}

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
