#!/usr/bin/env bash
# Installs the build dependencies, builds a CMake preset and runs all tests: tools/test.sh [PRESET]
# Tests listed in KNOWN-RED.txt are run and their results printed, but they do not affect the exit status.
set -euo pipefail
cd "$(dirname "$0")/.."
preset=${1:-release}
tools/setup.sh "$preset"
known=$(sed -n 's/^test: *//p' KNOWN-RED.txt 2>/dev/null | paste -sd'|' -)
cd "build/$preset"
if [ -n "$known" ]; then
    echo "known failures from KNOWN-RED.txt, which do not affect the exit status: $known"
    ctest --output-on-failure -R "^($known)\$" || true
    ctest --output-on-failure -j 4 -E "^($known)\$"
else
    ctest --output-on-failure -j 4
fi
