#!/usr/bin/env bash
# Builds the stand-ins and the scripted cases of the second review into target/review-2; needs only the JDK.
# The stand-ins that several cases use are in review/6.
set -euo pipefail
cd "$(dirname "$0")/.."
rm -rf target/review-2
mkdir -p target/review-2
find review/6 review/7 review/8 review/9 -name '*.java' -print0 | xargs -0 javac --release 17 -d target/review-2
