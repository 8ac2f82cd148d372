#!/usr/bin/env bash
# Exits with 1 if the rule is broken, 0 if it holds, 2 if the case can't run. TROUBLE=0 leaves out the disruption.
cd "$(dirname "$0")/../.." || exit 2
[ -x build/review/restarts ] && [ -x target/src/gateway/daisymountgateway ] && [ -x target/src/rankagent/daisymountrankagent ] || exit 2
exec build/review/restarts "$PWD/review/1/record.txt" "${TROUBLE:-1}"
