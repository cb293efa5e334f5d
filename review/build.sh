#!/bin/sh
# Builds the stand-ins of the cases. They are plain JavaScript without dependencies, so there is nothing to compile; the program of
# the deploy file has to be built before.
cd "$(dirname "$0")/.." || exit 1
for file in review/support/*.mjs review/*/case.mjs; do
	node --check "$file" || exit 1
done
