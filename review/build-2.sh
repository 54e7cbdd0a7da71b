#!/usr/bin/env bash
# Builds the cases 6 to 10, with all their stand-ins, into review/bin. They need the standard library alone.
set -euo pipefail
cd "$(dirname "$0")"
mkdir -p bin
for i in 6 7 8 9 10; do
	GOWORK=off GOPROXY=off GOTOOLCHAIN=local GOFLAGS=-mod=mod go build -o "bin/case$i" "./$i"
done
