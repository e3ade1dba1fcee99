#!/usr/bin/env bash
# Builds one preset: tools/build.sh [release|asan|tsan]
set -euo pipefail
cd "$(dirname "$0")/.."
preset="${1:-release}"
cmake --preset "$preset" >/dev/null
cmake --build --preset "$preset"
