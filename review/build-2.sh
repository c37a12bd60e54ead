#!/bin/sh
# Builds the stand-ins of the scripts in review/6 to review/10. It needs Go and no network; the
# deploy file's build makes target/fuchsiapick.
set -eu
cd "$(dirname "$0")/driver-2"
go build -o ../../target/review2 .
