#!/usr/bin/env bash
# Runs all tests, with the fixed seed for property tests. Only packages that
# link rapid know its flags, so tests run in groups: with and without the seed,
# with and without the race detector. Seeds of fuzz targets and their committed
# corpora run as ordinary tests here; exploring is for scripts/fuzz.sh.
set -euo pipefail
cd "$(dirname "$0")/.."
rapid_seed=${RAPID_SEED:-20261202}
timeout=${TEST_TIMEOUT:-300s}
# Packages whose goroutines share state, and whose tests stay short under the
# race detector.
race_pattern=${RACE_PATTERN:?set by the Makefile}

all=$(go list ./...)
seeded=$(go list -f '{{range .TestImports}}{{if eq . "pgregory.net/rapid"}}{{$.ImportPath}}{{end}}{{end}}
{{range .XTestImports}}{{if eq . "pgregory.net/rapid"}}{{$.ImportPath}}{{end}}{{end}}' ./... | sed '/^$/d' | sort -u)
raced=$(grep -E "/internal/(proof/)?($race_pattern)\$" <<<"$all" || true)

run() { # run NAME "PACKAGES" ARGUMENTS...
  local name=$1 packages=$2
  shift 2
  [ -n "$packages" ] || return 0
  echo "== $name"
  # shellcheck disable=SC2086 # a list of import paths
  go test -count=1 -timeout "$timeout" $packages "$@" | { grep --line-buffered -v '\[no test files\]' || true; }
}
both() { comm -12 <(sort <<<"$1") <(sort <<<"$2"); }
only() { comm -23 <(sort <<<"$1") <(sort <<<"$2"); }

run "plain tests" "$(only "$(only "$all" "$seeded")" "$raced")"
run "property tests, seed $rapid_seed" "$(only "$seeded" "$raced")" -rapid.seed="$rapid_seed"
run "tests under the race detector" "$(only "$raced" "$seeded")" -race
run "property tests under the race detector, seed $rapid_seed" "$(both "$raced" "$seeded")" -race -rapid.seed="$rapid_seed"
