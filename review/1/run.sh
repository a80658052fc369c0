#!/bin/sh
# Runs the case. Exit code: 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# TROUBLE=0 leaves the disruption out. Writes record.txt beside this script.
case_folder=$(cd "$(dirname "$0")" && pwd) || exit 2
ROOT=$(cd "$case_folder/../.." && pwd) || exit 2
WORK=$(mktemp -d) || exit 2
RECORD=$case_folder/record.txt
export ROOT WORK RECORD
# Ends the processes that the driver started, if it could not do so itself.
clean_up() {
    if [ -f "$WORK/pids" ]; then
        while read -r pid; do kill -9 "$pid" 2>/dev/null; done < "$WORK/pids"
    fi
    rm -rf "$WORK"
}
trap clean_up EXIT
trap 'exit 2' INT TERM
driver=$ROOT/review/stand-ins/target/release/blocked_by_bad_clients
[ -x "$driver" ] && [ -x "$ROOT/target/release/workload-manager" ] || exit 2
timeout 110 "$driver"
code=$?
case $code in
    0 | 1) exit $code ;;
    *) exit 2 ;;
esac
