#!/usr/bin/env bash
# Builds the stand-ins of review 3. They are Python programs of the standard
# library (standins3.py), so nothing is compiled; this only checks that they load.
set -euo pipefail
cd "$(dirname "$0")"
python3 -B -c "import standins3"
