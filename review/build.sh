#!/usr/bin/env bash
# Builds the stand-ins that the scripts of this folder start, into build/review.
set -euo pipefail
cd "$(dirname "$0")/.."
cmake -S review -B build/review -DCMAKE_BUILD_TYPE=RelWithDebInfo >/dev/null
cmake --build build/review --target review-standin -j6
