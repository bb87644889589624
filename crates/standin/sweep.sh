#!/bin/sh
# Runs the launcher over numbers of routers, of servers, and times between
# exchanges; prints one JSON line a run, after the flags of the run.
# Engines are slower the more there are, so that the load on the machine that
# runs the sweep stays the same.
set -eu
cd "$(dirname "$0")/../.."
cargo build --release --package mulberryyoke-standin --example fleet

run() {
    printf '%s\t' "$*"
    cargo run --quiet --release --package mulberryyoke-standin --example fleet -- \
        --seconds "${SECONDS_EACH:-20}" --seed "${SEED:-7719}" "$@" 2>/dev/null | tail -n 1
}

for routers in 2 4 8 16 24; do
    run --routers "$routers"
done
for servers in 4 8 16 32 64; do
    run --servers "$servers" --token-ms $((servers > 12 ? 10 * servers / 12 : 10))
done
for lag in 100 500 1000 5000 20000; do
    run --exchange-ms "$lag"
done
