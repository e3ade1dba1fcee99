#!/bin/sh
# The stand-ins of the scripts are Python programs that use the standard library
# only, so there is nothing to compile. Checks that they can be loaded.
cd "$(dirname "$0")" || exit 1
exec python3 -B -c 'import standins'
