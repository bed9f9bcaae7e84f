#!/bin/sh
# The stand-ins of the scripts are plain Node.js modules without dependencies: there is nothing to compile. Checks that they
# can be read, and that the build of the deploy file was done.
cd "$(dirname "$0")" || exit 1
for file in *.mjs */run.mjs; do node --check "$file" || exit 1; done
test -f ../target/marigoldbank.js
