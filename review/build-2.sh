#!/bin/sh
# Builds the stand-ins and the player of the cases of the second review into target/. It needs no network.
set -e
cd "$(dirname "$0")/src-2"
mkdir -p ../../target
GOWORK=off GOFLAGS=-mod=mod GOPROXY=off GOTOOLCHAIN=local CGO_ENABLED=0 go build -o ../../target/review-2 .
