#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the second review start: a program that plays the store, the upstreams and the
# clients of cases 6, 8 and 9, and case 7, which uses the earlier review's harness and the project's own store.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
rustc --edition 2021 -O -o target/review-2/cases review/cases.rs
rustc --edition 2024 -O -o target/review-2/case-7 review/7/case.rs
cargo build --release --locked -p lab
