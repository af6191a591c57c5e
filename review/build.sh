#!/usr/bin/env bash
# Builds the stand-ins that the scripts start; needs only the compiler.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
rustc --edition 2024 -O -o target/review/stand_in review/stand_in.rs
