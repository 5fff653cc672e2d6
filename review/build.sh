#!/bin/sh
# Builds what the review's scripts start beside the agent: one program with all stand-ins, from the standard
# library alone. Run it after the build of deploy/balancer.toml.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review
rustc --edition 2021 -O -o target/review/standins review/standins/main.rs
