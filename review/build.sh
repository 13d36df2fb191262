#!/bin/sh
# Builds the stand-ins that the scripts of the review start. The project's own
# programs come from the build of the deploy file.
set -eu
cd "$(dirname "$0")/lab"
mkdir -p ../../target
GOWORK=off go build -o ../../target/review-lab .
