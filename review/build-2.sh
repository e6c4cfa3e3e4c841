#!/bin/sh
# Builds the stand-ins of the cases 6 to 10. Needs the build of the deploy file.
set -e
cd "$(dirname "$0")/.."
rm -rf target/review-2
mkdir -p target/review-2
javac -nowarn -cp target/yuccabank-0.1.0-all.jar -d target/review-2 review/harness-2/*.java
