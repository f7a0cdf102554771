#!/usr/bin/env bash
# Plays the case "renamed". Exits with 1 if the rule was broken, 0 if it held, and 2 if the
# case could not run. TROUBLE=0 plays it without the disruption.
set -u
cd "$(dirname "$0")/../.." || exit 2
for program in target/daisylug-entry target/review-standin-2; do
	[ -x "$program" ] || { echo "$program is not built" >&2; exit 2; }
done
exec target/review-standin-2 renamed review/9
