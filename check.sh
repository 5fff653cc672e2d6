#!/bin/sh
# Everything that main must pass; `.ci/run` calls it too. No step hangs on the clock or the machine.
set -eux
cd "$(dirname "$0")"
# Stand-ins hold thousands of connections; where the hard limit is lower, so be it.
ulimit -n "$(ulimit -Hn)" || true
cargo build --release --locked
cargo fmt --all --check
cargo clippy --workspace --all-targets --locked -- -D warnings
RUSTDOCFLAGS="-D warnings" cargo doc --workspace --no-deps --locked
# Tests that are known to fail, one a line: `test: cause (issue)`, three at the most. They are passed over and printed.
set --
if [ -e KNOWN-RED.txt ]; then
    test "$(wc -l < KNOWN-RED.txt)" -le 3
    cat KNOWN-RED.txt
    for name in $(sed -n 's/: .*//p' KNOWN-RED.txt); do
        set -- "$@" --skip "$name"
    done
fi
cargo test --workspace --locked -- "$@"
