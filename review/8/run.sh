#!/usr/bin/env bash
# Plays case 8. Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
cd "$(dirname "$0")/../.." || exit 2
scene=target/review-2/release/review-scene-2
[ -x "$scene" ] && [ -x target/release/lagoon-platform ] || exit 2
exec "$scene" lost-answer review/8/record.txt
