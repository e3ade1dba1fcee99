#!/usr/bin/env bash
# Regenerates the Cap'n Proto code in filberthollow/wire/generated, which is
# committed. Needs the package capnproto.
set -euo pipefail
cd "$(dirname "$0")/../filberthollow/wire"
capnp compile -oc++:generated --src-prefix=. ./*.capnp
