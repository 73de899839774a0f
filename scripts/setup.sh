#!/usr/bin/env bash
# Installs the packages that the build needs and builds everything into build/. Usage: scripts/setup.sh [CMAKE_OPTION...]
set -euo pipefail
cd "$(dirname "$0")/.."
packages=(g++ cmake ninja-build ccache clang-format clang-tidy git
    libboost1.81-dev libcereal-dev libcxxopts-dev libeasyloggingpp-dev librapidcheck-dev
    libyaml-cpp-dev libxxhash-dev libsodium-dev libgtest-dev libbenchmark-dev)
if ! dpkg -s "${packages[@]}" >/dev/null 2>&1; then
    echo "setup: installing packages"
    apt-get update -qq
    DEBIAN_FRONTEND=noninteractive apt-get install -y -qq "${packages[@]}" >/dev/null
fi
cmake -S . -B build -G Ninja "$@" >/dev/null
ninja -C build --quiet
