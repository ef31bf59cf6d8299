#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. TROUBLE=0 leaves the disruption out.
# Needs the build of the deploy file and review/build-2.sh.
cd "$(dirname "$0")/../.." || exit 2
[ -f target/garnetscale.jar ] && [ -f target/review-2/Case7.class ] || { echo "build first" >&2; exit 2; }
rm -f review/7/record.txt
timeout -k 2 118 java -Xmx256m -cp target/garnetscale.jar:target/review-2 Case7
case $? in
    10) exit 0 ;;
    11) exit 1 ;;
    *) exit 2 ;;
esac
