#!/bin/sh
# Builds what the scripts of the third review start beside the programs of the deploy file.
set -e
cd "$(dirname "$0")/src-3"
mkdir -p ../bin
go build -o ../bin/cases-3 .
