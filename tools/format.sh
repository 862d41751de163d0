#!/usr/bin/env bash
# Formats the project's own sources in place; with --check it only reports differences.
set -euo pipefail
cd "$(dirname "$0")/.."
mode=(-i)
[ "${1:-}" = "--check" ] && mode=(--dry-run --Werror)
git ls-files --cached --others --exclude-standard '*.h' '*.cpp' | grep -v '/generated/' | xargs -r clang-format "${mode[@]}"
