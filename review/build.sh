#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the review start. The programs under test come from the build of the deploy file.
set -euo pipefail
cd "$(dirname "${BASH_SOURCE[0]}")/.."
go build -o target/review/ ./review/harness
