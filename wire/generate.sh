#!/bin/sh
# Regenerates the committed Go code in wirev1/ from proto/. Requires protoc,
# protoc-gen-go v1.36.12 and protoc-gen-connect-go v1.21.1 on PATH.
set -eu
cd "$(dirname "$0")"
protoc -I proto \
  --go_out=. --go_opt=module=almondstand.dev/wire \
  --connect-go_out=. --connect-go_opt=module=almondstand.dev/wire \
  proto/almondstand/wire/v1/*.proto
