#!/usr/bin/env bash
# Builds the stand-ins and the scripted cases into target/review; needs only the JDK.
set -euo pipefail
cd "$(dirname "$0")/.."
rm -rf target/review
mkdir -p target/review/classes
find review -name '*.java' -print0 | xargs -0 javac --release 17 -Xlint:all -d target/review/classes
