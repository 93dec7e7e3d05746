# Starts and ends processes for scripts; sourced, with $bin (the build) and $work (a directory of its own) set.
pids=()

# Ends what this shell started.
end_started() {
    for it in "${pids[@]}"; do kill -TERM "$it" 2>/dev/null || true; done
    for it in "${pids[@]}"; do wait "$it" 2>/dev/null || true; done
    pids=()
}

# Ends what was started, and removes the directory.
finish() {
    end_started
    rm -rf "$work"
}
trap finish EXIT

# Waits for the first line of a file and prints it.
first_line() {
    for _ in $(seq 200); do [ -s "$1" ] && break; sleep 0.05; done
    head -1 "$1"
}

# Starts a stand-in and puts its address into $address.
start_standin() {
    local out="$work/standin-${#pids[@]}"
    "$bin/test/skylarkhitch-standin" "$@" >"$out" &
    pids+=("$!")
    address=127.0.0.1:$(first_line "$out")
}

# Starts an instance with its settings' file, after a command to run it under if one is given, and puts its addresses
# into $CALLERS, $OPERATORS and $PEERS.
start_instance() {
    local out="$work/ready-${#pids[@]}" settings=$1
    shift
    "$@" "$bin/skylarkhitchd" --settings "$settings" >"$out" 2>/dev/null &
    pids+=("$!")
    read -r _ CALLERS OPERATORS PEERS <<<"$(first_line "$out")"
    CALLERS=${CALLERS#callers=} OPERATORS=${OPERATORS#operators=} PEERS=${PEERS#peers=}
}
