#!/usr/bin/env bash
# Builds the stand-ins that the cases of the second review start, without any dependency.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
rustc --edition 2021 -O -o target/review/standin-2 review/standin-2/main.rs
