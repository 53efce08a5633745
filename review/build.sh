#!/usr/bin/env bash
# Builds the stand-ins of the review into review/bin. They use the standard library only.
set -euo pipefail
cd "$(dirname "$0")/standins"
GOFLAGS=-mod=mod GOWORK=off GOPROXY=off go build -o ../bin/standins .
