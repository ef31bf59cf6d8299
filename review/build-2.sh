#!/usr/bin/env bash
# Builds the stand-ins and the cases of this review with the JDK alone, against the jar of the deploy file's build.
set -euo pipefail
cd "$(dirname "$0")/.."
rm -rf target/review-2
mkdir -p target/review-2
javac -cp target/garnetscale.jar -d target/review-2 review/lib-2/*.java review/[4-8]/*.java
