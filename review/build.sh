#!/bin/sh
# Builds the stand-ins of the scripts, after the build of the deploy file. They need no library.
cd "$(dirname "$0")/.." || exit 2
exec cargo build --release --locked --offline --manifest-path review/standin/Cargo.toml --target-dir target/review
