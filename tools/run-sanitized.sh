#!/usr/bin/env bash
# Builds and runs the tests with ASan and UBSan, then with TSan.
set -euo pipefail
cd "$(dirname "$0")/.."
for preset in asan tsan; do
  ./run-tests.sh "$preset"
done
