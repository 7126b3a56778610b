#!/bin/sh
# Builds the stand-ins and drivers of the review's scripts into review/out/. The daemon itself comes from the build of
# the deploy file.
set -eu
cd "$(dirname "$0")/.."
cmake -S review -B review/out -DCMAKE_BUILD_TYPE=Release
cmake --build review/out -j4
