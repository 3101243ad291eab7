#!/usr/bin/env bash
# Runs the stand-in $2 as the case in folder $1: 1 the rule was broken, 0 it held, 2 the case could not run.
set -u
folder=$(cd "$1" && pwd)
cd "$(dirname "$0")/.." || exit 2
standin=review/standins/target/release/$2
[ -x "$standin" ] && [ -x target/release/doortrack ] || { echo "build the project and review/build.sh first"; exit 2; }
export TMPDIR
TMPDIR=$(mktemp -d) || exit 2
trap 'rm -rf "$TMPDIR"' EXIT
# The nodes end with the stand-in that started them.
timeout -k 2 115 "$standin" "$folder"
code=$?
case $code in 0 | 1) exit $code ;; *) exit 2 ;; esac
