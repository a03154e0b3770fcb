# For the scripts of the cases: `run_driver NAME RECORD TROUBLE` runs a driver in the root of the repository, in a temporary
# folder, and ends the script with its exit code. All processes that the driver has started are ended, also when the script
# itself is ended.
run_driver() {
    local name=$1 record=$2 trouble=$3 code
    if [ ! -x target/review-2/review ] || [ ! -x target/release/garnetcrank-proxy ]; then
        echo "build first: the build of deploy/balancer.toml, then review/build-2.sh" | tee -a "$record" >&2
        exit 2
    fi
    folder=$(mktemp -d) || exit 2
    trap end_case EXIT
    trap 'exit 2' INT TERM HUP
    target/review-2/review "$name" "$folder" "$record" "$trouble" &
    driver_pid=$!
    wait "$driver_pid" && code=0 || code=$?
    driver_pid=
    case $code in 0 | 1) ;; *) code=2 ;; esac
    exit "$code"
}

end_case() {
    # The driver ends its processes itself. These are ended here only if it was ended before.
    if [ -n "${driver_pid:-}" ]; then
        kill -KILL "$driver_pid" 2>/dev/null || true
        if [ -e "$folder/pids" ]; then
            while read -r pid; do
                kill -KILL "$pid" 2>/dev/null || true
            done < "$folder/pids"
        fi
    fi
    rm -rf "$folder"
}
