#!/bin/sh
# Builds the stand-ins and the cases' driver into review/bin. It needs the standard library only.
set -e
cd "$(dirname "$0")/src"
GOWORK=off GOFLAGS= GOPROXY=off GOTOOLCHAIN=local CGO_ENABLED=0 go build -o ../bin/review .
