#!/usr/bin/env bash
# Installs the Debian packages that the build and the tests need, if any are missing.
set -euo pipefail
packages=(build-essential cmake ninja-build ccache python3 git
  libboost1.81-dev libboost-json1.81-dev libboost-program-options1.81-dev
  libflatbuffers-dev libspdlog-dev libfmt-dev libcpputest-dev libvalijson-dev librapidcheck-dev
  libxxhash-dev libssl-dev clang libclang-rt-14-dev clang-format clang-tidy)
missing=()
for package in "${packages[@]}"; do
  dpkg-query -W -f='${Status}' "$package" 2>/dev/null | grep -q 'install ok installed' || missing+=("$package")
done
if [ ${#missing[@]} -gt 0 ]; then
  apt-get update -q
  DEBIAN_FRONTEND=noninteractive apt-get install -y -q --no-install-recommends "${missing[@]}"
fi
