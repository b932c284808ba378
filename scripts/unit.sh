#!/usr/bin/env bash
# Runs all tests, with the fixed seed for property tests. Only packages that
# link rapid know its flags, so tests run in groups: with and without the seed,
# with and without the race detector. Seeds of fuzz targets and their committed
# corpora run as ordinary tests here; exploring is for scripts/fuzz.sh.
#
# KNOWN-RED.txt at the root lists tests that fail for a real fault, twelve at most, a
# line each: "PACKAGE TEST | command and seed | what was seen | cause | issue". Those run
# too and are printed with their outcome, which decides nothing; every other test does.
set -euo pipefail
cd "$(dirname "$0")/.."
rapid_seed=${RAPID_SEED:-20261202}
timeout=${TEST_TIMEOUT:-600s}
# Packages whose goroutines share state, and whose tests stay short under the
# race detector.
race_pattern=${RACE_PATTERN:?set by the Makefile}
known_red_limit=12

all=$(go list ./...)
seeded=$(go list -f '{{range .TestImports}}{{if eq . "pgregory.net/rapid"}}{{$.ImportPath}}{{end}}{{end}}
{{range .XTestImports}}{{if eq . "pgregory.net/rapid"}}{{$.ImportPath}}{{end}}{{end}}' ./... | sed '/^$/d' | sort -u)
raced=$(grep -E "/internal/(proof/)?($race_pattern)\$" <<<"$all" || true)

# red_lines are the lines of the list, red_tests "IMPORT-PATH TEST" for each.
red_lines=() red_tests=()
read_known_red() {
  [ -f KNOWN-RED.txt ] || return 0
  mapfile -t red_lines < <(sed '/^[[:space:]]*$/d' KNOWN-RED.txt)
  if [ "${#red_lines[@]}" -gt "$known_red_limit" ]; then
    echo "KNOWN-RED.txt has ${#red_lines[@]} lines, at most $known_red_limit are allowed"
    exit 1
  fi
  local line package test rest path
  for line in ${red_lines[@]+"${red_lines[@]}"}; do
    read -r package test rest <<<"$line"
    path=$(go list "$package" 2>/dev/null || true)
    if [ -z "$path" ] || ! grep -qx "$test" <<<"$(go test -list "^$test\$" "$path")"; then
      echo "KNOWN-RED.txt names no test: $line"
      exit 1
    fi
    red_tests+=("$path $test")
  done
}

# red_of prints the listed tests of a package, joined by "|".
red_of() {
  local entry
  for entry in ${red_tests[@]+"${red_tests[@]}"}; do
    [ "${entry% *}" != "$1" ] || echo "${entry#* }"
  done | paste -sd'|' -
}

go_test() { go test -count=1 -timeout "$timeout" "$@" | { grep --line-buffered -v '\[no test files\]' || true; }; }

# tell_red runs each listed test of a package and prints what came of it.
tell_red() { # tell_red PACKAGE ARGUMENTS...
  local package=$1 index outcome
  shift
  for index in "${!red_tests[@]}"; do
    [ "${red_tests[$index]% *}" = "$package" ] || continue
    outcome="passed this time"
    go_test "$package" -run "^${red_tests[$index]#* }\$" "$@" || outcome="still fails"
    echo "== known red, $outcome: ${red_lines[$index]}"
  done
}

run() { # run NAME "PACKAGES" ARGUMENTS...
  local name=$1 packages=$2 package red plain=()
  shift 2
  [ -n "$packages" ] || return 0
  echo "== $name"
  for package in $packages; do
    red=$(red_of "$package")
    if [ -z "$red" ]; then
      plain+=("$package")
      continue
    fi
    go_test "$package" -skip "^($red)\$" "$@"
    tell_red "$package" "$@"
  done
  [ "${#plain[@]}" -eq 0 ] || go_test "${plain[@]}" "$@"
}
both() { comm -12 <(sort <<<"$1") <(sort <<<"$2"); }
only() { comm -23 <(sort <<<"$1") <(sort <<<"$2"); }

read_known_red
run "plain tests" "$(only "$(only "$all" "$seeded")" "$raced")"
run "property tests, seed $rapid_seed" "$(only "$seeded" "$raced")" -rapid.seed="$rapid_seed"
run "tests under the race detector" "$(only "$raced" "$seeded")" -race
run "property tests under the race detector, seed $rapid_seed" "$(both "$raced" "$seeded")" -race -rapid.seed="$rapid_seed"
