#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the second review start. The project's program comes from the build line of
# deploy/system.toml.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target
GOFLAGS=-buildvcs=false go build -o target/review2-joined ./review/standins2/joined
