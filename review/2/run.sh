#!/bin/sh
# Case 2. TROUBLE=0 plays it without the disruption.
cd "$(dirname "$0")/../.." || exit 2
exec node review/2/case.mjs
