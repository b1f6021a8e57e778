#!/usr/bin/env bash
# Mutation test: applies each change of scripts/mutants.list in turn and checks that the test named there fails.
# Usage: scripts/mutants.sh [NAME]
#   NAME   the only mutant to run (default: all)
# Works on a copy of the tree under target/mutants.
set -uo pipefail
cd "$(dirname "$0")/.."
copy=target/mutants/tree
mkdir -p "$copy"
survived=0
killed=0
mutant() { # NAME FILE OLD NEW TEST-BINARY TEST [PACKAGE]
    local name=$1 file=$2 old=$3 new=$4 binary=$5 test=$6 package=${7:-boragerill}
    if [ -n "${only:-}" ] && [ "$only" != "$name" ]; then return; fi
    rm -rf "$copy"
    mkdir -p "$copy"
    git ls-files -z --cached --others --exclude-standard | xargs -0 cp --parents -t "$copy"
    if ! OLD="$old" NEW="$new" perl -0pi -e '$n = s/\Q$ENV{OLD}\E/$ENV{NEW}/; END { exit !$n }' "$copy/$file"; then
        echo "STALE $name: the text to replace is not in $file"
        survived=$((survived + 1))
        return
    fi
    if (cd "$copy" && CARGO_TARGET_DIR=../build RUST_BACKTRACE=0 cargo test --quiet -p "$package" --test "$binary" "$test" >../log 2>&1); then
        echo "SURVIVED $name: $binary::$test passes"
        survived=$((survived + 1))
    elif grep -q '^test result: FAILED' target/mutants/log; then
        echo "killed $name by $binary::$test"
        killed=$((killed + 1))
    else
        echo "STALE $name: the mutant does not build"
        survived=$((survived + 1))
    fi
}
only=${1:-}
source scripts/mutants.list
echo "$killed killed, $survived survived"
[ "$survived" -eq 0 ]
