#!/bin/sh
# Compiles the stand-ins of the review into review/build. Needs only the JDK, no network.
set -eu
cd "$(dirname "$0")"
rm -rf build
mkdir -p build
javac -d build standin/*.java
