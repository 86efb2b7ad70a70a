#!/bin/sh
# Runs the case. Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# With TROUBLE=0 it does the same without the disruption.
cd "$(dirname "$0")/../.." || exit 2
for file in target/release/platform-entry target/release/platform-agent target/review-2/standins; do
    [ -x "$file" ] || { echo "$file is not built"; exit 2; }
done
TROUBLE="${TROUBLE:-1}"
export TROUBLE
exec target/review-2/standins 5 racing-operators
