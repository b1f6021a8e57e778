#!/usr/bin/env bash
# Runs the case; see claim.txt. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review-3/third ] && [ -x target/release/boragerill-vm ] || exit 2
exec timeout -k 5 115 target/review-3/third release review/13
