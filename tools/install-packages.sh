#!/usr/bin/env bash
# Installs those Debian packages of .ci/packages.txt that are missing.
set -euo pipefail
list="$(dirname "$0")/../.ci/packages.txt"
missing=()
while read -r package; do
  dpkg-query -W -f='${Status}' "$package" 2>/dev/null |
    grep -q "install ok installed" || missing+=("$package")
done <"$list"
if [ ${#missing[@]} -gt 0 ]; then
  apt-get update
  DEBIAN_FRONTEND=noninteractive apt-get install -y --no-install-recommends \
    "${missing[@]}"
fi
