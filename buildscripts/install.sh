#!/usr/bin/env bash
# Installs the Debian packages that daisymount is built and tested with, where they are missing.
set -u
PACKAGES="cmake ninja-build g++ clang-format clang-tidy pkg-config libpistache-dev libjsonrpccpp-dev prometheus-cpp-dev libdocopt-dev
libgoogle-glog-dev libboost1.81-dev cpputest libcpputest-dev libtomlplusplus-dev libcurl4-openssl-dev libxxhash-dev liblua5.4-dev spin
gnuplot-nox ccache"
missing=""
for package in $PACKAGES; do
    dpkg-query -W -f='${Status}' "$package" 2>/dev/null | grep -q "ok installed" || missing="$missing $package"
done
[ -z "$missing" ] && exit 0
echo "installing:$missing"
sudo=""
[ "$(id -u)" = 0 ] || sudo=sudo
$sudo apt-get update -qq || exit 1
DEBIAN_FRONTEND=noninteractive $sudo apt-get install -y -qq $missing >/dev/null
