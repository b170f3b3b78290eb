#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the
# disruption out. KEEP_LOGS=1 keeps the logs of the hosts.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/release/goldcrestusher ] && [ -x target/review-3/standin ] || exit 2
target/review-3/standin restarted-hosts review/15
result=$?
[ $result -le 1 ] || result=2
exit $result
