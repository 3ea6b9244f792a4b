#!/bin/sh
# Builds the programs that play the cases, with their stand-ins, into review/bin. The node itself is built by the deploy file.
set -eu
cd "$(dirname "$0")/.."
mkdir -p review/bin
go build -o review/bin/ ./review/cases/...
