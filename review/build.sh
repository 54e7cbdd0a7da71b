#!/usr/bin/env bash
# Builds the tests of the cases with their stand-ins into review/bin. They need the standard library alone.
set -euo pipefail
cd "$(dirname "$0")"
mkdir -p bin
for i in [0-9]*/; do
	GOWORK=off GOFLAGS=-mod=mod go build -o "bin/case${i%/}" "./${i%/}"
done
