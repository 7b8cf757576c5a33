#!/bin/sh
# Builds the stand-ins and cases of the third review into target/review-3. Run it after the build of the deploy file.
set -eu
cd "$(dirname "$0")/.."
rm -rf target/review-3
mkdir -p target/review-3
for case in review/1[1-5] review/leaving-crowd; do
    if [ -d "$case/case" ]; then
        mkdir -p "target/review-3/$(basename "$case")"
        javac -encoding UTF-8 -d "target/review-3/$(basename "$case")" review/standins-3/*.java "$case"/case/*.java
    fi
done
