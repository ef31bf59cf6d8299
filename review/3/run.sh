#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. TROUBLE=0 leaves the disruption out.
here=$(cd "$(dirname "$0")" && pwd)
cd "$here/../.." || exit 2
[ -f target/garnetscale.jar ] && [ -f target/review/ScarceCase.class ] || { echo "build first" >&2; exit 2; }
rm -f "$here/record.txt"
timeout 119 java -Xmx256m -cp target/review ScarceCase "$here/record.txt" &
case=$!
trap 'kill $case 2>/dev/null' TERM INT HUP
wait $case
status=$?
[ $status -le 2 ] || status=2
exit $status
