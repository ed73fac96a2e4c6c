#!/usr/bin/env bash
# Builds the stand-ins of the second review's scripts (cases 6 to 10): one program that plays the store, the upstreams and
# the clients, with the standard library alone.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
rustc --edition 2021 -O -o target/review-2/cases review/cases.rs
