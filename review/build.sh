#!/usr/bin/env bash
# Builds the stand-ins of the cases, and the project's program as deploy/system.toml builds it if
# it is not there yet. Nothing is fetched: the stand-ins use the standard library alone.
set -euo pipefail
cd "$(dirname "$0")/.."
if [[ ! -x target/martenstage ]]; then
	go build -ldflags=-linkmode=external -o target/ ./cmd/martenstage
fi
cd review/standin
go build -o ../bin/standin .
