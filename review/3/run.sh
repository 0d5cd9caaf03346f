#!/usr/bin/env bash
# Plays the case and writes record.txt beside this file. Exit code: 1 if the rule was broken, 0 if it held, 2 if the case
# could not run. TROUBLE=0 plays it without the disruption. Needs the build of the deploy file and review/build.sh.
set -u
folder="$(cd "$(dirname "${BASH_SOURCE[0]}")" && pwd)"
cd "$folder/../.." || exit 2
[ -x target/kitetiller ] && [ -x target/review/harness ] || exit 2
timeout --kill-after=5 110 target/review/harness wall "$folder/record.txt"
code=$?
case $code in 0 | 1) exit $code ;; *) exit 2 ;; esac
