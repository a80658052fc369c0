#!/bin/sh
# Plays the case spoilt-result. Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not
# run. With TROUBLE=0 it plays the same without the disruption.
cd "$(dirname "$0")/../.." || exit 2
stand_ins=review/stand-ins-2/target/release/review-stand-ins-2
[ -x "$stand_ins" ] && [ -x target/release/workload-manager ] || {
    echo "build the project and run review/build-2.sh first"
    exit 2
}
exec "$stand_ins" spoilt-result review/10
