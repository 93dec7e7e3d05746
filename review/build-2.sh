#!/usr/bin/env bash
# Builds the stand-ins that the scripts of review/6 and later start, into build/review-2.
set -euo pipefail
cd "$(dirname "$0")/.."
cmake -S review/standins-2 -B build/review-2 -G Ninja >/dev/null
cmake --build build/review-2
