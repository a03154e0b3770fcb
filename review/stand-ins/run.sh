# Sourced by each case's run.sh: runs the case's program in a temporary folder, for 120 s at most, and ends whatever it
# left running. Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
cd "$(dirname "$0")/../.." || exit 2
program=target/review/case-$number
if [ ! -x "$program" ] || [ ! -x target/release/garnetcrank-proxy ]; then
    echo "build first: the build of deploy/balancer.toml, then review/build.sh"
    exit 2
fi
folder=$(mktemp -d) || exit 2
end() {
    for file in "$folder"/*.pid; do
        [ -e "$file" ] && kill -9 "$(cat "$file")" 2>/dev/null
    done
    rm -rf "$folder"
}
trap end EXIT
trap 'exit 2' HUP INT TERM
TROUBLE=${TROUBLE:-1} timeout -k 2 115 "$program" "$folder" "review/$number/record.txt"
result=$?
case $result in 0 | 1) exit $result ;; *) exit 2 ;; esac
