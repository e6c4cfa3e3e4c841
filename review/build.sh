#!/bin/sh
# Compiles the scripts and their stand-ins with the JDK alone.
set -e
cd "$(dirname "$0")"
rm -rf build
mkdir build
javac -d build harness/*.java
