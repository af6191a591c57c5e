#!/bin/sh
# Builds the stand-ins that the scripts of this review start, after the build of deploy/system.toml.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-2
rustc --edition 2024 -O -D warnings -o target/review-2/rig review/rig_2.rs
