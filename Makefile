# The two commands of the first screen: `make demo` and `make test`.
SHELL := /bin/bash
GO ?= go
# Fixed seed of the property tests, so that every run checks the same cases.
RAPID_SEED := 20261202
# Packages that run under the race detector: the shells, whose goroutines share
# state. Cores have no goroutines.
RACE_PATTERN := httpdrain|ring|directory|exchange|gateway|spool|rpc|follower|relay|router|callers|backend|forward|emulator|machinelist|keys|routestats|statuspage|cli

.PHONY: all build test demo soak fleet lint format generate fuzz unit

all: build

build:
	$(GO) build -o bin/ ./cmd/...

test: lint build unit

# Formatter, vet and static analysis; each prints what it objects to.
lint:
	@unformatted=$$(gofmt -l cmd internal platform); if [ -n "$$unformatted" ]; then echo "not formatted: $$unformatted"; exit 1; fi
	$(GO) vet ./...
	$(GO) tool staticcheck ./...

unit:
	RAPID_SEED=$(RAPID_SEED) RACE_PATTERN='$(RACE_PATTERN)' ./scripts/unit.sh

# Explores with each fuzz target for a while; inputs are random, so this is no
# part of `test`, which runs the committed corpora.
fuzz:
	./scripts/fuzz.sh

demo: build
	./scripts/demo.sh

# Real processes of a registered site under faults drawn from a seed: docs/SOAK.md.
SEED ?= 1
SECONDS_OF_FAULTS ?= 180
soak:
	$(GO) test ./cmd/martenstage -count=1 -timeout 30m -run 'TestSoak$$' -v -args -soak.seed=$(SEED) -soak.seconds=$(SECONDS_OF_FAULTS)

# Either deployment at full size under faults by time, 80 s.
DEPLOYMENT ?= bangkok
fleet: build
	./scripts/fleet.sh $(DEPLOYMENT)

format:
	gofmt -w cmd internal platform

generate:
	buf generate
