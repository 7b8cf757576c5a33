#!/bin/sh
# Builds the stand-ins and the cases of review/ into target/review. Needs a JDK 17 only.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review
javac --release 17 -d target/review review/*.java $(ls review/[0-9]/*.java 2>/dev/null)
