#!/usr/bin/env bash
# Builds the stand-ins of the review's scripts into target/review/. Needs the Rust toolchain only.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
rustc --edition 2024 -O -o target/review/review-case review/standin/main.rs
