#!/bin/bash
# Plays the case. Build before: the build of the deploy file, and review/build-2.sh.
# TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review-2/case ] && [ -x target/release/goldcrestusher ] || exit 2
exec target/review-2/case quorum review/6
