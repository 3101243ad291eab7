#!/bin/sh
# Builds the stand-ins of the second review, into target/review-2. They have no dependencies; no network is needed.
set -eu
cd "$(dirname "$0")/.."
exec cargo build --release --offline --manifest-path review/stand-ins-2/Cargo.toml --target-dir target/review-2
