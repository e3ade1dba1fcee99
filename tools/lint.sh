#!/usr/bin/env bash
# Checks the format of all C++ files but generated ones, and runs clang-tidy on
# all .cc files but tests.
set -euo pipefail
cd "$(dirname "$0")/.."
git ls-files '*.h' '*.cc' | grep -v /generated/ |
  xargs clang-format --dry-run -Werror
cmake --preset release >/dev/null
git ls-files 'filberthollow/*.cc' | grep -v _test.cc |
  xargs -P 8 -n 4 clang-tidy --quiet -p build/release 2>build/clang-tidy.err
echo "format and lint: clean"
