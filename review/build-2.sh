#!/usr/bin/env bash
# Builds what the scripts of the cases 4 to 8 start besides the build of the deploy file. Needs no network once the
# repository has been built.
set -euo pipefail
cd "$(dirname "$0")/.."
cargo build --release --offline --manifest-path review/rig-2/Cargo.toml --target-dir target/review
