#!/usr/bin/env bash
# Builds the stand-ins and clients that the scripts of review/ start, into target/review.
set -euo pipefail
cd "$(dirname "$0")/.."
cmake -S review/standins -B target/review -G Ninja -DCMAKE_BUILD_TYPE=Release >/dev/null
cmake --build target/review
