#!/usr/bin/env bash
# Installs the build dependencies (Debian packages) and builds a CMake preset: tools/setup.sh [PRESET]
set -euo pipefail
cd "$(dirname "$0")/.."
preset=${1:-release}
packages=(g++ cmake ninja-build pkg-config clang-format clang-tidy curl libabsl-dev libnghttp2-dev prometheus-cpp-dev libmicrohttpd-dev
    libcurl4-openssl-dev libpopt-dev libboost-log-dev catch2 libyaml-cpp-dev nlohmann-json3-dev librapidcheck-dev libxxhash-dev
    libbenchmark-dev libssl-dev zlib1g-dev)
missing=()
for package in "${packages[@]}"; do
    dpkg-query -W -f='${Status}' "$package" 2>/dev/null | grep -q 'ok installed' || missing+=("$package")
done
if [ "${#missing[@]}" -gt 0 ]; then
    as_root=()
    [ "$(id -u)" = 0 ] || as_root=(sudo)
    "${as_root[@]}" apt-get update -qq
    DEBIAN_FRONTEND=noninteractive "${as_root[@]}" apt-get install -y -qq --no-install-recommends "${missing[@]}" >/dev/null
fi
cmake --preset "$preset" >/dev/null
cmake --build --preset "$preset"
