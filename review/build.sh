#!/usr/bin/env bash
# Builds the stand-ins that the cases of this review start, without any dependency.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
rustc --edition 2021 -O -o target/review/standin review/standin/main.rs
