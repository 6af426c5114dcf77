#!/usr/bin/env bash
# Builds the stand-ins and the scripted cases of the second review into target/review-2; needs only the JDK.
set -euo pipefail
cd "$(dirname "$0")/.."
rm -rf target/review-2
mkdir -p target/review-2
find review -path '*/support-2/*.java' -print0 -o -regex 'review/\([6-9]\|10\)/.*\.java' -print0 |
  xargs -0 javac --release 17 -d target/review-2
