#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the cases start. It needs no network: the
# module has no dependencies.
set -euo pipefail
cd "$(dirname "$0")"
go build -buildvcs=false -o ../target/review-standin ./standin
