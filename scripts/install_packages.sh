#!/usr/bin/env bash
# Installs the Debian 12 packages that the build, the tests and the linters need.
set -euo pipefail
packages="g++ cmake ninja-build ccache git ca-certificates python3 curl libpoco-dev libcereal-dev
  prometheus-cpp-dev libgflags-dev libgoogle-glog-dev libboost1.81-dev doctest-dev librapidcheck-dev
  libxxhash-dev nlohmann-json3-dev clang-14 libclang-rt-14-dev clang-format clang-tidy"
missing=""
for package in $packages; do
  dpkg-query -W -f='${Status}' "$package" 2>/dev/null | grep -q 'install ok installed' ||
    missing="$missing $package"
done
if [ -n "$missing" ]; then
  sudo=""
  [ "$(id -u)" -eq 0 ] || sudo="sudo"
  $sudo apt-get update -qq
  # shellcheck disable=SC2086
  DEBIAN_FRONTEND=noninteractive $sudo apt-get install -y --no-install-recommends $missing
fi
