#!/usr/bin/env bash
# Installs, builds and passes all tests: tools/test.sh [PRESET]
# Tests that KNOWN-RED.txt lists are run and printed, but do not decide the verdict.
set -euo pipefail
cd "$(dirname "$0")/.."
preset=${1:-release}
tools/setup.sh "$preset"
known=$(sed -n 's/^test: *//p' KNOWN-RED.txt 2>/dev/null | paste -sd'|' -)
cd "build/$preset"
if [ -n "$known" ]; then
    echo "known red, run and printed only: $known"
    ctest --output-on-failure -R "^($known)\$" || true
    ctest --output-on-failure -j 4 -E "^($known)\$"
else
    ctest --output-on-failure -j 4
fi
