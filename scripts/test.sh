#!/usr/bin/env bash
# Runs all tests. Fails if a test fails that is not listed in KNOWN-RED.txt; listed ones are only printed.
set -uo pipefail
cd "$(dirname "$0")/.."
cargo build --quiet --bins || exit 1
log=$(mktemp)
trap 'rm -f "$log"' EXIT
cargo test --workspace --no-fail-fast 2>&1 | tee "$log"
passed=$(grep -oE 'test result: .* ([0-9]+) passed' "$log" | grep -oE '[0-9]+ passed' | awk '{n += $1} END {print n + 0}')
mapfile -t red < <(sed -n 's/^test \(.*\) \.\.\. FAILED$/\1/p' "$log" | sort -u)
known=0
unknown=0
for name in "${red[@]}"; do
    if grep -qE "^- $name( |$)" KNOWN-RED.txt 2>/dev/null; then
        echo "KNOWN RED: $name"
        known=$((known + 1))
    else
        echo "NEW RED: $name"
        unknown=$((unknown + 1))
    fi
done
if grep -qE '^error(\[|:)' "$log" && [ "${#red[@]}" -eq 0 ]; then
    echo "the tests did not build or run"
    unknown=$((unknown + 1))
fi
echo "known red: $known"
echo "$passed passed, $unknown failed"
[ "$unknown" -eq 0 ] && [ "$passed" -gt 0 ]
