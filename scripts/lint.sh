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
lintOne() {
    key=$( (echo "$headers"; cat "$1") | sha256sum | cut -c1-40)
    [ -e "$cache/$key" ] && exit 0
    if clang-tidy --quiet -p build "$1" >"$cache/$key.log" 2>&1; then
        rm -f "$cache/$key.log"; touch "$cache/$key"
    else
        echo "lint: $1"; grep -v 'warnings generated' "$cache/$key.log" | head -n 40; rm -f "$cache/$key.log"; exit 1
    fi
}
export -f lintOne
printf '%s\n' "${units[@]}" | xargs -P "$(nproc)" -I{} bash -c 'lintOne {}'
echo "lint: ${#units[@]} files clean"
