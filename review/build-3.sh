#!/usr/bin/env bash
# Builds the programs that the scripts of review/11 and later start, into build/review-3.
set -euo pipefail
cd "$(dirname "$0")/.."
cmake -S review/standins-3 -B build/review-3 -G Ninja >/dev/null
cmake --build build/review-3
