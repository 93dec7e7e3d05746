#!/usr/bin/env bash
# Runs clang-format on all source files, and clang-tidy on those of src and platform: tools/lint.sh
set -euo pipefail
cd "$(dirname "$0")/.."
tools/setup.sh release >/dev/null
# clang 14 supports C++20 coroutines but does not define the macros that the standard library and Boost.Asio check.
coroutines=(--extra-arg=-D__cpp_impl_coroutine=201902L --extra-arg=-DBOOST_ASIO_HAS_CO_AWAIT=1 --extra-arg=-DBOOST_ASIO_HAS_STD_COROUTINE=1)
git ls-files '*.cpp' '*.h' | xargs clang-format --dry-run -Werror
git ls-files 'src/*.cpp' 'platform/*.cpp' | xargs -P "$(nproc)" -n 1 clang-tidy --quiet -p build/release "${coroutines[@]}" 2>/dev/null
echo "clang-format and clang-tidy found no problems"
