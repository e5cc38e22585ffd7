#!/usr/bin/env bash
# Plays the case and exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# TROUBLE=0 plays it without the disruption.
cd "$(dirname "$0")" || exit 2
root=$(cd ../.. && pwd) || exit 2
for program in canvaspulleyd review-standin; do
  [ -x "$root/target/$program" ] || { echo "target/$program is missing" >&2; exit 2; }
done
exec "$root/target/review-standin" drain "$root" "$PWD/record.txt"
