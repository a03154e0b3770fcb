#!/usr/bin/env bash
# Builds what the scripts of cases 6 to 10 start, beside what the deploy file builds: the project's agent and command line,
# and the stand-ins, which need nothing but the standard library.
set -euo pipefail
cd "$(dirname "$0")/.."
cargo build --release --locked -p garnetcrank-agent -p garnetcrank-cli
mkdir -p target/review-2
rustc --edition 2024 -O -o target/review-2/review review/stand-ins-2/main.rs
