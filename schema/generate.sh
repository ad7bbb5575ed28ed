#!/bin/sh
# Regenerates the committed code under gen/. Requires Debian's
# protobuf-compiler; the two plugins are tools pinned in go.mod.
set -eu
cd "$(dirname "$0")/.."
out=${1:-.}
plugins=$(mktemp -d)
trap 'rm -rf "$plugins"' EXIT
go build -o "$plugins" google.golang.org/protobuf/cmd/protoc-gen-go connectrpc.com/connect/cmd/protoc-gen-connect-go
PATH="$plugins:$PATH" protoc -I schema \
  --go_out="$out" --go_opt=module=briarspring \
  --connect-go_out="$out" --connect-go_opt=module=briarspring \
  schema/briarspring/v1/*.proto schema/platform/v1/*.proto
