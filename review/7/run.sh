#!/bin/bash
# Plays the case. Build before: the build of the deploy file, and review/build-2.sh.
# TROUBLE=0 leaves the disruption out.
# Each play is one planned replacement in a deployment that was just started; two deployments play at a time.
# A run ends with the first plays that break the rule, and after eight rounds (10 s each) or 100 s.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review-2/case ] && [ -x target/release/goldcrestusher ] || exit 2
folder=$(mktemp -d) || exit 2
trap 'rm -rf "$folder"' EXIT
mkdir "$folder/a" "$folder/b"
: >review/7/record.txt
for round in 1 2 3 4 5 6 7 8; do
    target/review-2/case lost "$folder/a" &
    first=$!
    target/review-2/case lost "$folder/b"
    second=$?
    wait "$first"
    first=$?
    cat "$folder/a/record.txt" "$folder/b/record.txt" >>review/7/record.txt
    [ "$first" = 1 ] || [ "$second" = 1 ] && exit 1
    [ "$first" = 0 ] && [ "$second" = 0 ] || exit 2
    [ "$SECONDS" -lt 100 ] || break
done
exit 0
