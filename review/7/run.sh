#!/usr/bin/env bash
# Runs the case from the repository's root; needs the build of the deploy file and review/build-2.sh.
cd "$(dirname "$0")/../.." || exit 2
exec timeout -k 2 119 java -cp target/garnetscale.jar:target/review-2 Case7
