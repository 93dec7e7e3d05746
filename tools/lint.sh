#!/usr/bin/env bash
# Checks formatting and names of every source file: tools/lint.sh
set -euo pipefail
cd "$(dirname "$0")/.."
tools/setup.sh release >/dev/null
# clang 14 has C++20 coroutines but does not say so to the standard library and to Boost.Asio.
coroutines=(--extra-arg=-D__cpp_impl_coroutine=201902L --extra-arg=-DBOOST_ASIO_HAS_CO_AWAIT=1 --extra-arg=-DBOOST_ASIO_HAS_STD_COROUTINE=1)
git ls-files '*.cpp' '*.h' | xargs clang-format --dry-run -Werror
git ls-files 'src/*.cpp' 'platform/*.cpp' | xargs -P "$(nproc)" -n 1 clang-tidy --quiet -p build/release "${coroutines[@]}" 2>/dev/null
echo "formatting and names are clean"
