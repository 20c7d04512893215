#!/usr/bin/env bash
# Builds the stand-ins and drivers of the cases 6 to 8 into target/review-2.
set -euo pipefail
cd "$(dirname "$0")/.."
cmake -S review/standins-2 -B target/review-2 -DCMAKE_BUILD_TYPE=Release
cmake --build target/review-2 -j8
