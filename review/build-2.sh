#!/bin/sh
# Builds the stand-ins of the second review's scripts. Run in the repository's root, after the build of the deploy file.
set -eu
CGO_ENABLED=1 go build -o target/review-2 ./review/harness-2
