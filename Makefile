# The two commands of the first screen: `make demo` and `make test`.
SHELL := /bin/bash
GO ?= go
# Fixed seed of the property tests, so that every run checks the same cases.
RAPID_FLAGS := -rapid.seed=20261202

.PHONY: all build test demo lint format generate fuzz race unit

all: build

build:
	$(GO) build -o bin/ ./cmd/...

test: lint build unit race fuzz

# Formatter, vet and static analysis; each prints what it objects to.
lint:
	@unformatted=$$(gofmt -l cmd internal); if [ -n "$$unformatted" ]; then echo "not formatted: $$unformatted"; exit 1; fi
	$(GO) vet ./...
	$(GO) tool staticcheck ./...

unit:
	$(GO) test ./...

# Packages whose goroutines share state, under the race detector.
race:
	$(GO) test -race ./internal/ring/...

# A short run of each fuzz target over its committed corpus.
fuzz:
	./scripts/fuzz.sh

demo: build
	./scripts/demo.sh

format:
	gofmt -w cmd internal

generate:
	buf generate
