#!/bin/bash
# Plays the case. Build before: the build of the deploy file, and review/build-2.sh.
# TROUBLE=0 leaves the disruption out.
# Each play is one planned replacement in a deployment that was just started. A run ends with the first play
# that breaks the rule, and after eight plays (10 s each) or 100 s.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review-2/case ] && [ -x target/release/goldcrestusher ] || exit 2
folder=$(mktemp -d) || exit 2
trap 'rm -rf "$folder"' EXIT
: >review/7/record.txt
for play in 1 2 3 4 5 6 7 8; do
    echo "play $play"
    target/review-2/case lost "$folder"
    result=$?
    cat "$folder/record.txt" >>review/7/record.txt
    [ "$result" = 0 ] || exit "$result"
    [ "$SECONDS" -lt 100 ] || exit 0
done
