#!/bin/sh
# Shows that callers who leave early use up the memory account of a router for good. TROUBLE=0: the same without them.
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
here=$(cd "$(dirname "$0")" && pwd)
cd "$here/../.." || exit 2
[ -f target/lacewingthread-platform.jar ] && [ -d target/review-3/leaving-crowd ] || exit 2
folder=$(mktemp -d) || exit 2
trap 'rm -rf "$folder"' EXIT
timeout 118 java -Xmx512m -cp target/review-3/leaving-crowd LeavingCrowdCase "$here" "$folder"
status=$?
[ "$status" -le 1 ] && exit "$status"
exit 2
