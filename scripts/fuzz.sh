#!/usr/bin/env bash
# Runs every fuzz target for a fixed number of executions, so that the run does
# not depend on the machine's speed.
set -euo pipefail
cd "$(dirname "$0")/.."
executions=${FUZZ_EXECUTIONS:-2000x}
grep -rl --include='*_test.go' '^func Fuzz' cmd internal 2>/dev/null | xargs -r -n1 dirname | sort -u |
  while read -r package; do
    grep -h -o '^func Fuzz[A-Za-z0-9_]*' "$package"/*_test.go | sed 's/^func //' | while read -r target; do
      go test "./$package" -run='^$' -fuzz="^$target\$" -fuzztime="$executions"
    done
  done
