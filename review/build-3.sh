#!/bin/sh
# Builds the stand-ins that the scripts of the third review start. It needs the Go toolchain and no network.
set -eu
cd "$(dirname "$0")/.."
go build -o target/lab3 ./review/lab3
