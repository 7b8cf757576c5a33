#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, and 2 if the case couldn't run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
[ -d target/review-2 ] && [ -f target/lacewingthread-platform.jar ] || exit 2
exec timeout --signal=TERM 110 java -Xmx256m -cp target/review-2 RequestInBody review/request-in-body/record.txt
