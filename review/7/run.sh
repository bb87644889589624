#!/usr/bin/env bash
# Plays the case and exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
# TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
if [ ! -x target/release/mulberryyoked ] || [ ! -x target/review/standin-2 ]; then
    echo "build the deploy file's programs and run review/build-2.sh first" >&2
    exit 2
fi
trouble=${TROUBLE:-1}
folder=$(mktemp -d) || exit 2
finish() {
    # Left only if the case broke off.
    if [ -e "$folder/pids" ]; then
        while read -r pid; do kill -KILL "$pid" 2>/dev/null; done <"$folder/pids"
    fi
    rm -rf "$folder"
}
trap finish EXIT
trap 'exit 2' INT TERM
TROUBLE="$trouble" target/review/standin-2 lossy "$folder" "${RECORD:-review/7/record.txt}"
code=$?
grep -E "judge|ORDER" "${RECORD:-review/7/record.txt}" | tail -n 20
[ "$code" -le 1 ] || code=2
exit "$code"
