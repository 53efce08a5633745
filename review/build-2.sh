#!/usr/bin/env bash
# Builds the stand-ins of the second review into review/bin. They use the standard library only.
set -euo pipefail
cd "$(dirname "$0")/standins-2"
GOFLAGS=-mod=mod GOWORK=off GOPROXY=off go build -o ../bin/standins-2 .
