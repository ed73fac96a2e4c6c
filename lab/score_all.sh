#!/usr/bin/env bash
# Scores sites one after the other on one commit and writes docs/SCORES.md, beside the figures of the last table.
# Usage: lab/score_all.sh BENCH 'BENCH-OPTIONS' SITE...
set -euo pipefail
cd "$(dirname "$0")/.."
bench=$1 options=$2
shift 2
# Fall of a day's worth that is marked, above the variation between two runs.
marked_fall=0.05

state() { git rev-parse HEAD; sha256sum target/release/pistachiolane; }
[ -z "$(git status --porcelain -- . ':!journal')" ] || { echo "not started: the tree has changes" >&2; exit 1; }
cargo build --release --locked -p app
before=$(state)
last=$(mktemp) rows=$(mktemp)
trap 'rm -f "$last" "$rows"' EXIT
git show HEAD:docs/SCORES.md > "$last" 2>/dev/null || true

for site in "$@"; do
    name=$(basename "$site" .toml)
    # The options are several words.
    # shellcheck disable=SC2086
    "$bench" score "$site" $options --why "all sites on $(git rev-parse --short HEAD)" | tee "target/score-$name.txt"
    [ "$(state)" = "$before" ] || { echo "stopped: commit or binary changed during $name" >&2; exit 1; }
    gate=$(grep -o 'GATE [a-z]*' "target/score-$name.txt" | tail -1)
    awk -v site="$name" -v gate="${gate:-GATE unknown}" -v last="$last" -v limit=$marked_fall '
        BEGIN {
            FS = "|"
            while ((getline line < last) > 0) {
                split(line, f, "|")
                gsub(/ /, "", f[2]); gsub(/ /, "", f[3]); gsub(/ /, "", f[5])
                previous[f[2] "/" f[3]] = f[5]
            }
            FS = " "
        }
        $2 ~ /^[0-9]+\/[0-9]+$/ && $4 ~ /^-?[0-9.]+$/ {
            p = previous[site "/" $1]
            mark = (p != "" && p + 0 - $4 > limit) ? "fell" : ""
            printf "| %s | %s | %s | %s | %s | %s | %s | %s | %s | %s |\n", site, $1, $3, $4, $5, $6, $7, p, mark, gate
        }' "target/score-$name.txt" >> "$rows"
done
{
    echo "# Scores"
    echo
    echo "Written by \`lab/score_all.sh\` on $(git rev-parse --short HEAD), options: \`${options:-none}\`. A day whose worth fell by more than $marked_fall is marked."
    echo
    echo "| site | day | score | worth | served | refused | failed | last worth | | gate |"
    echo "| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |"
    cat "$rows"
} > docs/SCORES.md
