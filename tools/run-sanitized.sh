#!/usr/bin/env bash
# Builds with ASan+UBSan and with TSan, and runs the tests of each build.
set -euo pipefail
cd "$(dirname "$0")/.."
for preset in asan tsan; do
  ./run-tests.sh "$preset"
done
