#!/usr/bin/env bash
# Plays the script refuse: exits with 1 if the rule was broken, 0 if it held, 2 if it couldn't run.
here=$(cd "$(dirname "$0")" && pwd) || exit 2
root=$(cd "$here/../.." && pwd) || exit 2
[ -x "$root/target/sardinelock" ] && [ -x "$root/target/review-standin" ] || exit 2
exec "$root/target/review-standin" refuse "$root/target/sardinelock" "$here/record.txt"
