#!/usr/bin/env bash
# Runs the users' benchmark on a copy of the tree in which one mechanism is disabled, and copies the journal
# entries to the project's journal.
# Usage: scripts/trial.sh BENCH NAME RUNS [-- WHY]
#   BENCH  program of the users' benchmark
#   NAME   entry of scripts/ablations.list, or `base` for the unchanged tree
#   RUNS   file with one benchmark run per line: SITE DAY SEED
#   WHY    text that is added to the journal entries
# PARALLEL runs are executed at a time (default 5). The copy is made under target/trials/NAME.
set -uo pipefail
cd "$(dirname "$0")/.."
root=$PWD
bench=$(realpath "$1")
name=$2
plays=$(realpath "$3")
why="trial $name: ${*:5}"
copy=target/trials/$name
files=()
texts=()
replacements=()
ablation() { # NAME FILE OLD NEW
    if [ "$1" = "$name" ]; then
        files+=("$2")
        texts+=("$3")
        replacements+=("$4")
    fi
}
source scripts/ablations.list
if [ "$name" != base ] && [ "${#files[@]}" -eq 0 ]; then
    echo "scripts/ablations.list has no entry \"$name\""
    exit 2
fi
rm -rf "$copy"
mkdir -p "$copy/target"
git ls-files -z --cached --others --exclude-standard -- ':!journal' | xargs -0 cp --parents -t "$copy"
# Avoids building the libraries again: only the project's own crates differ.
cp -a target/release "$copy/target/release"
for index in "${!files[@]}"; do
    if ! OLD="${texts[$index]}" NEW="${replacements[$index]}" perl -0pi -e '$n = s/\Q$ENV{OLD}\E/$ENV{NEW}/g; END { exit !$n }' "$copy/${files[$index]}"; then
        echo "STALE $name: the text to replace is not in ${files[$index]}"
        exit 1
    fi
done
(cd "$copy" && git init --quiet . && cargo build --quiet --release -p boragerill-platform) || exit 1
play() {
    read -r site day seed <<<"$1"
    if ! (cd "$copy" && "$bench" run "$site" "$day" --seed "$seed" --no-cpu --jobs 1 --why "$why" >"play-$(basename "$site" .toml)-$day-$seed.log" 2>&1); then
        echo "run failed: $1"
    fi
}
export -f play
export bench copy why
xargs -a "$plays" -d '\n' -P "${PARALLEL:-5}" -I{} bash -c 'play "$1"' _ {}
cp -n "$copy"/journal/*.json "$root/journal/"
mkdir -p "$root/target/trials/entries/$name"
cp "$copy"/journal/*.json "$root/target/trials/entries/$name/"
echo "$name: $(ls "$copy"/journal/*.json | wc -l) runs"
