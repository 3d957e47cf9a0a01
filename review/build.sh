#!/bin/sh
# Builds the stand-ins and the drivers of all cases with the JDK alone.
set -e
cd "$(dirname "$0")"
rm -rf build
mkdir -p build
javac -encoding UTF-8 -d build standins/*.java */Case*.java
