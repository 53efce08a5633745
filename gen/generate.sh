#!/bin/sh
# Makes gen/ anew from proto/. Needs protoc, protoc-gen-go and
# protoc-gen-connect-go; the build does not, since gen/ is committed.
set -eu
cd "$(dirname "$0")/.."
protoc -I proto --go_out=. --go_opt=module=fieldvale --connect-go_out=. --connect-go_opt=module=fieldvale,simple proto/fieldvale/v1/fieldvale.proto
