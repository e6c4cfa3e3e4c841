#!/bin/sh
# Exits with 1 if the rule is broken, 0 if it holds, 2 if the case can't run.
cd "$(dirname "$0")/../.." || exit 2
[ -f target/review-2/StuckBreaker.class ] || exit 2
exec java -Xmx256m -Djdk.httpclient.allowRestrictedHeaders=host \
    -cp target/review-2:target/yuccabank-0.1.0-all.jar StuckBreaker review/7
