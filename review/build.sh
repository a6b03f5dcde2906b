#!/bin/sh
# Builds the stand-ins that the scripts start: they are JavaScript modules without dependencies, so this only checks that
# each of them can be loaded by the Node.js at hand. The gateway itself is built by the command of the deploy file.
set -eu
cd "$(dirname "$0")"
for module in standins/*.mjs [1-5]/case.mjs; do
	node --check "$module"
done
