#!/usr/bin/env bash
# Installs missing packages, builds, and runs the demo on a small local fleet.
set -euo pipefail
cd "$(dirname "$0")"
tools/install-packages.sh
tools/build.sh release
exec python3 -B tools/demo.py
