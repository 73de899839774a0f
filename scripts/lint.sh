#!/usr/bin/env bash
# Checks format and lint of the tracked sources. Usage: scripts/lint.sh [FILE...]; needs a configured build/.
# A file whose text, settings and includes were clean before is not read again.
set -euo pipefail
cd "$(dirname "$0")/.."
mapfile -t sources < <(git ls-files '*.cpp' '*.h')
clang-format --dry-run --Werror "${sources[@]}"
mapfile -t units < <(if [ $# -gt 0 ]; then printf '%s\n' "$@"; else git ls-files '*.cpp'; fi)
export cache="${HEATHERROUTE_LINT_CACHE:-$HOME/.cache/heatherroute-lint}"
mkdir -p "$cache"
headers=$(cat .clang-tidy $(git ls-files '*.h') | sha256sum)
export headers
# clang-tidy 14 reports "use nullptr" at a defaulted <=> that it expanded itself; only at such a line the finding is dropped.
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
