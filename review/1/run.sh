#!/bin/sh
# Case 1. TROUBLE=0 plays it without the disruption.
cd "$(dirname "$0")/../.." || exit 2
exec node review/1/case.mjs
