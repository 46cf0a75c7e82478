#!/bin/sh
# The stand-ins are plain modules for Node.js without dependencies, so that nothing has to be compiled: only checks that they parse, and
# that the build of the deploy file has put the programs where the scripts start them.
cd "$(dirname "$0")/.." || exit 1
for file in review/lib/*.mjs review/[0-9]/*.mjs; do
    node --check "$file" || exit 1
done
[ -f target/basilpaddle.cjs ] || { echo "target/basilpaddle.cjs is missing: run the build of deploy/system.toml first"; exit 1; }
