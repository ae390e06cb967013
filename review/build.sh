#!/bin/sh
# Builds the project's stand-ins, which the scripts of the cases import. The boxes are built by the deploy file.
cd "$(dirname "$0")/.." || exit 2
exec npx tsc -b
