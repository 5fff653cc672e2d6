#!/bin/sh
# Plays one of the cases 6 to 10: `run-case-2.sh CASE FOLDER`. Exits with 1 if the rule was broken, 0 if it held, 2 if
# the case could not run.
standins="$(cd "$(dirname "$0")/.." && pwd)/target/review-standins-2/release/review-standins-2"
if [ ! -x "$standins" ]; then
    echo "the case could not run: build it with the deploy file's build and review/build-2.sh" >&2
    exit 2
fi
scratch=$(mktemp -d) || exit 2
# The case ends what it has started; where it is ended itself, the agents are its children.
stop() {
    kill -KILL $(ps -o pid= --ppid "$case") "$case" 2>/dev/null
    rm -rf "$scratch"
    exit 2
}
trap stop INT TERM HUP
TMPDIR=$scratch "$standins" "$1" "$2" &
case=$!
wait "$case"
status=$?
rm -rf "$scratch"
[ "$status" -le 2 ] || status=2
exit "$status"
