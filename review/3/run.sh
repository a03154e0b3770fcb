#!/bin/sh
# Runs case 3 for 120 s at most in a temporary folder, and ends every process that it started. Exits with 1 if the rule
# was broken, 0 if it held, 2 if the case could not run. With TROUBLE=0 it does the same without the disruption.
# What was sent, answered and run is written to record.txt beside this script.
here=$(cd "$(dirname "$0")" && pwd) || exit 2
cd "$here/../.." || exit 2
trouble=${TROUBLE:-1}
record=$here/record.txt
program=target/review/case-3
: > "$record" || exit 2
if [ ! -x "$program" ] || [ ! -x target/release/garnetcrank-proxy ]; then
    echo "build first: the build of deploy/balancer.toml, then review/build.sh" | tee "$record"
    exit 2
fi
folder=$(mktemp -d) || exit 2
end() {
    # Only a program that was killed itself leaves the number of its front behind.
    if [ -e "$folder/front.pid" ]; then
        kill -9 "$(cat "$folder/front.pid")" 2>/dev/null
    fi
    rm -rf "$folder"
}
trap end EXIT
trap 'exit 2' HUP INT TERM
timeout -k 2 115 "$program" "$folder" "$record" "$trouble"
result=$?
case $result in
    0 | 1) exit $result ;;
    *) exit 2 ;;
esac
