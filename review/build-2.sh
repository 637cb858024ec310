#!/bin/sh
# Builds the stand-ins of the cases in review/6 to review/10, and of what REPORT-2.md names beside them. They use nothing but the standard library.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review-2
rustc --edition 2024 -O review/standin-2/main.rs -o target/review-2/standin
