#!/usr/bin/env bash
# Plays days with a policy changed on a scratch copy, and leaves the entries beside those of the project.
# Usage: scripts/trial.sh BENCH NAME PLAYS [-- WHY]
#   BENCH  the users' bench
#   NAME   an entry of scripts/ablations.list, or `base` for the tree as it is
#   PLAYS  a file with a line a play: SITE DAY SEED
# PARALLEL plays run at a time (default 5). The copy is made under target/trials/NAME.
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
    echo "no ablation named $name"
    exit 2
fi
rm -rf "$copy"
mkdir -p "$copy/target"
git ls-files -z --cached --others --exclude-standard -- ':!journal' | xargs -0 cp --parents -t "$copy"
# Libraries are built once; only the project's own crates differ.
cp -a target/release "$copy/target/release"
for index in "${!files[@]}"; do
    if ! OLD="${texts[$index]}" NEW="${replacements[$index]}" perl -0pi -e '$n = s/\Q$ENV{OLD}\E/$ENV{NEW}/g; END { exit !$n }' "$copy/${files[$index]}"; then
        echo "STALE $name: the text to change is gone from ${files[$index]}"
        exit 1
    fi
done
(cd "$copy" && git init --quiet . && cargo build --quiet --release -p boragerill-platform) || exit 1
play() {
    read -r site day seed <<<"$1"
    if ! (cd "$copy" && "$bench" run "$site" "$day" --seed "$seed" --no-cpu --jobs 1 --why "$why" >"play-$(basename "$site" .toml)-$day-$seed.log" 2>&1); then
        echo "not played: $1"
    fi
}
export -f play
export bench copy why
xargs -a "$plays" -d '\n' -P "${PARALLEL:-5}" -I{} bash -c 'play "$1"' _ {}
cp -n "$copy"/journal/*.json "$root/journal/"
mkdir -p "$root/target/trials/entries/$name"
cp "$copy"/journal/*.json "$root/target/trials/entries/$name/"
echo "$name: $(ls "$copy"/journal/*.json | wc -l) plays"
