#!/bin/sh
# Builds the stand-ins of the cases 6 to 10, after the build of the deploy file; needs no network.
set -e
cd "$(dirname "$0")/standins-2"
rm -rf target
mkdir target
javac -d target *.java
