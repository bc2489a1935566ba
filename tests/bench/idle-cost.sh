#!/usr/bin/env bash
# idle-cost.sh PID...: resident memory of running daemons, and their processor time over ten seconds.
set -euo pipefail
INTERVAL_S=10

ticks() {
    awk '{ print $14 + $15 }' "/proc/$1/stat"
}

declare -A before
for pid in "$@"; do
    before[$pid]=$(ticks "$pid")
done
sleep "$INTERVAL_S"
hertz=$(getconf CLK_TCK)
echo "pid	resident kB	processor %"
for pid in "$@"; do
    resident=$(awk '/VmRSS/ { print $2 }' "/proc/$pid/status")
    share=$(awk -v used=$(($(ticks "$pid") - before[$pid])) -v hertz="$hertz" -v seconds="$INTERVAL_S" \
        'BEGIN { printf "%.2f", 100 * used / hertz / seconds }')
    echo "$pid	$resident	$share"
done
