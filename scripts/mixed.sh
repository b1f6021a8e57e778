#!/usr/bin/env bash
# Runs the tests of a fleet whose VMs are of two builds: this one and another one.
# Usage: scripts/mixed.sh OLD
#   OLD  the other build's program `boragerill-vm`
set -euo pipefail
if [ $# -ne 1 ]; then
    echo "usage: scripts/mixed.sh OLD" >&2
    exit 2
fi
if [ ! -f "$1" ] || [ ! -x "$1" ]; then
    echo "mixed.sh: no program at $1" >&2
    exit 2
fi
BORAGERILL_OTHER_VM=$(realpath "$1")
export BORAGERILL_OTHER_VM
cd "$(dirname "$0")/.."
cargo build --quiet -p boragerill-platform --bin boragerill-vm
log=$(mktemp)
trap 'rm -f "$log"' EXIT
cargo test -p boragerill-platform --test standard mixed:: 2>&1 | tee "$log"
# A filter that matches no test succeeds.
if ! grep -qE '^test result: ok\. [1-9]' "$log"; then
    echo "mixed.sh: no test ran" >&2
    exit 1
fi
