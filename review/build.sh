#!/usr/bin/env bash
# Builds the stand-ins that the scripts start: the project's own store, and the cases with their clients and upstreams.
set -euo pipefail
cd "$(dirname "$0")/.."
cargo build --release --locked -p lab
mkdir -p target/review
for case in review/*/case.rs; do
    name=$(basename "$(dirname "$case")")
    rustc --edition 2024 -O -o "target/review/case-$name" "$case"
done
