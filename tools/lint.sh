#!/usr/bin/env bash
# Checks formatting and names of every source file: tools/lint.sh
set -euo pipefail
cd "$(dirname "$0")/.."
tools/setup.sh release >/dev/null
git ls-files '*.cpp' '*.h' | xargs clang-format --dry-run -Werror
git ls-files 'src/*.cpp' | xargs -P "$(nproc)" -n 1 clang-tidy --quiet -p build/release 2>/dev/null
echo "formatting and names are clean"
