#!/bin/sh
# Builds the stand-ins of the scripts, into target/.
set -e
cd "$(dirname "$0")/driver"
exec go build -o ../../target/review-driver .
