#!/usr/bin/env bash
# Plays the case; exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
set -u
cd "$(dirname "$0")" || exit 2
folder=$PWD
cd ../.. || exit 2
program=target/review/release/other_writer
if [ ! -x "$program" ] || [ ! -x target/release/lagoon-platform ]; then
    echo "build the programs of the deploy file and run review/build.sh first" >&2
    exit 2
fi
exec "$program" "$folder"
