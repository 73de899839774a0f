#!/usr/bin/env bash
# Checks the tracked sources with clang-format and clang-tidy. Usage: scripts/lint.sh [FILE...]; needs a configured build/.
# Clean files are cached; a file is checked again when it, any tracked header or .clang-tidy changes.
set -euo pipefail
cd "$(dirname "$0")/.."
mapfile -t sources < <(git ls-files '*.cpp' '*.h')
clang-format --dry-run --Werror "${sources[@]}"
mapfile -t units < <(if [ $# -gt 0 ]; then printf '%s\n' "$@"; else git ls-files '*.cpp'; fi)
export cache="${HEATHERROUTE_LINT_CACHE:-$HOME/.cache/heatherroute-lint}"
mkdir -p "$cache"
headers=$(cat .clang-tidy $(git ls-files '*.h') | sha256sum)
export headers
# clang-tidy 14 falsely reports "use nullptr" at a defaulted operator<=>; findings on such lines are dropped.
findings() {
    awk '/: (error|warning): use nullptr/ { held = $0; next }
         held != "" { if ($0 !~ /operator<=>.*= default/) { print held; print } held = ""; next }
         /: (error|warning):/ { print; shown = 1; next }
         shown { print; shown = 0 }' "$1"
}
export -f findings
lintOne() {
    key=$( (echo "$headers"; cat "$1") | sha256sum | cut -c1-40)
    [ -e "$cache/$key" ] && exit 0
    clang-tidy --quiet -p build "$1" >"$cache/$key.log" 2>&1 || true
    found=$(findings "$cache/$key.log")
    if [ -z "$found" ] && grep -q 'warnings generated\|warning generated' "$cache/$key.log"; then
        rm -f "$cache/$key.log"; touch "$cache/$key"
    elif [ -z "$found" ] && [ ! -s "$cache/$key.log" ]; then
        rm -f "$cache/$key.log"; touch "$cache/$key"
    else
        echo "lint: $1"
        if [ -n "$found" ]; then head -n 40 <<<"$found"; else tail -n 20 "$cache/$key.log"; fi
        rm -f "$cache/$key.log"
        exit 1
    fi
}
export -f lintOne
printf '%s\n' "${units[@]}" | xargs -P "$(nproc)" -I{} bash -c 'lintOne {}'
echo "lint: ${#units[@]} files clean"
