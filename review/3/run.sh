#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. TROUBLE=0 leaves the disruption out.
folder=$(cd "$(dirname "$0")" && pwd) || exit 2
root=$(cd "$folder/../.." && pwd) || exit 2
[ -x "$root/bin/topazpost" ] && [ -x "$root/review/bin/withdraw" ] || exit 2
exec "$root/review/bin/withdraw" "$root" "$folder"
