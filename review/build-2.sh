#!/usr/bin/env bash
# Builds the stand-ins and drivers of the cases 6 to 10 into target/review-2. Run it after the build of the deploy file.
set -eu
cd "$(dirname "$0")/.."
cmake -S review/standins-2 -B target/review-2 -DCMAKE_BUILD_TYPE=Release >/dev/null
cmake --build target/review-2 -j4
