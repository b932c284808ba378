#!/usr/bin/env bash
# Plays one case: case.sh FOLDER NAME. The exit code is that of review/standin.
set -uo pipefail
folder=$(cd "$1" && pwd)
cd "$(dirname "$0")/.."
review/build.sh >&2 || exit 2
work=$(mktemp -d) || exit 2
review/bin/standin "$2" "$PWD" "$work" "$folder/record.txt" &
player=$!
trap 'kill $player 2>/dev/null; wait $player; rm -rf "$work"' EXIT
trap 'exit 2' TERM INT
wait $player
code=$?
case $code in 0 | 1) exit $code ;; *) exit 2 ;; esac
