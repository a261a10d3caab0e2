#!/bin/sh
# Builds the stand-ins of the second review's cases; needs only a JDK.
set -eu
cd "$(dirname "$0")/standins-2"
rm -rf classes
mkdir classes
javac -encoding UTF-8 -d classes src/standin/*.java
