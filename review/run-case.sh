#!/bin/sh
# Plays one case: review/run-case.sh FOLDER NAME. Exits with 1 if the rule was broken, 0 if it held, 2 if the
# case could not run. TROUBLE=0 plays it without the disruption.
set -u
folder=$(cd "$1" && pwd) || exit 2
cd "$folder/../.." || exit 2
if [ ! -x target/review/standins ] || [ ! -x target/release/dilljunction ]; then
    echo "build first: the build of deploy/balancer.toml, then review/build.sh" >&2
    exit 2
fi
SCRATCH=$(mktemp -d) || exit 2
RECORD=$folder/record.txt
export SCRATCH RECORD
stop() {
    # The agents that the case has started, if it could not end them itself.
    [ -e "$SCRATCH/pids" ] && xargs -r kill -9 < "$SCRATCH/pids" 2>/dev/null
    rm -rf "$SCRATCH"
    exit "$1"
}
trap 'kill "$case" 2>/dev/null; stop 2' INT TERM HUP
timeout 110 target/review/standins "$2" &
case=$!
wait "$case"
status=$?
if [ "$status" -le 2 ]; then
    rm -f "$SCRATCH/pids"
    stop "$status"
fi
stop 2
