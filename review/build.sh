#!/bin/sh
# Builds the stand-ins of the review's cases. They need the JDK only. Call it after the build of deploy/service.toml.
set -e
cd "$(dirname "$0")/.."
rm -rf target/review
mkdir -p target/review
javac -d target/review review/standin/*.java
