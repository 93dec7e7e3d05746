# Functions that start and terminate processes. Source this file with $bin set to the build directory and $work to a private
# temporary directory, which is removed on exit.
pids=()

# Terminates the processes in $pids and waits for them.
end_started() {
    for pid in "${pids[@]}"; do kill -TERM "$pid" 2>/dev/null || true; done
    for pid in "${pids[@]}"; do wait "$pid" 2>/dev/null || true; done
    pids=()
}

# Exit handler: terminates the processes and removes $work.
finish() {
    end_started
    rm -rf "$work"
}
trap finish EXIT

# Waits up to 10 s until a file is not empty and prints its first line.
first_line() {
    for _ in $(seq 200); do [ -s "$1" ] && break; sleep 0.05; done
    head -1 "$1"
}

# Starts a stand-in with the given arguments and sets $address.
start_standin() {
    local out="$work/standin-${#pids[@]}"
    "$bin/test/skylarkhitch-standin" "$@" >"$out" &
    pids+=("$!")
    address=127.0.0.1:$(first_line "$out")
}

# Starts an instance with the settings file $1, run by the command in the remaining arguments if there are any (such as
# taskset), and sets $CALLERS, $OPERATORS and $PEERS to its addresses.
start_instance() {
    local out="$work/ready-${#pids[@]}" settings=$1
    shift
    "$@" "$bin/skylarkhitchd" --settings "$settings" >"$out" 2>/dev/null &
    pids+=("$!")
    read -r _ CALLERS OPERATORS PEERS <<<"$(first_line "$out")"
    CALLERS=${CALLERS#callers=} OPERATORS=${OPERATORS#operators=} PEERS=${PEERS#peers=}
}
