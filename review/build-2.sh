#!/bin/sh
# Builds the stand-ins that the cases 6 to 10 start: one program without dependencies. No network is needed. The
# agent itself comes from the `build` of deploy/balancer.toml.
set -eu
cd "$(dirname "$0")/.."
cargo build --release --locked --offline --manifest-path review/standins-2/Cargo.toml --target-dir target/review-standins-2
