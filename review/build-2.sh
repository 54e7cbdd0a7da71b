#!/bin/bash
# Builds the stand-ins of the cases 6 and up. It needs the Go tool chain alone, and no network.
set -e
cd "$(dirname "$0")/standin-2"
GOWORK=off GOPROXY=off GOTOOLCHAIN=local GOFLAGS=-buildvcs=false go build -o bin/standin .
