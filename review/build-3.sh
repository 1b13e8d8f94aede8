#!/bin/sh
# The stand-ins of cases 11 and later are plain scripts: nothing is built, they are checked for syntax.
set -eu
cd "$(dirname "$0")"
for script in lib-3/*.mjs 1[1-5]/*.mjs; do
    node --check "$script"
done
