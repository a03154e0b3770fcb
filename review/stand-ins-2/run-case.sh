# Runs the driver of a case: `. run-case.sh; run_case DRIVER FOLDER_OF_THE_CASE`. It passes its exit code on, and ends all
# processes that the driver has started, also when the script itself is ended.
run_case() {
    local driver=$1 record=$2/record.txt code=2
    cd "$2/../.."
    if [ ! -x target/review-2/review ] || [ ! -x target/release/garnetcrank-proxy ]; then
        echo "run the build of the deploy file and review/build-2.sh first" >&2
        exit 2
    fi
    folder=$(mktemp -d)
    trap end_case EXIT
    trap 'exit 2' INT TERM HUP
    target/review-2/review "$driver" "$folder" "$record" &
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
        while read -r pid; do
            kill -KILL "$pid" 2>/dev/null || true
        done < "$folder/pids"
    fi
    rm -rf "$folder"
}
