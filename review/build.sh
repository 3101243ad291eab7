#!/usr/bin/env bash
# Builds every stand-in that the cases start. It needs no network: the package has no dependency.
set -euo pipefail
cd "$(dirname "$0")/standins"
CARGO_TARGET_DIR=target cargo build --release --offline --locked
