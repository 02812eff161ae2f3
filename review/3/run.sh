#!/bin/sh
# Exit status: 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
folder=$(cd "$(dirname "$0")" && pwd)
[ -x "$folder/../../target/fuchsia-pool" ] || exit 2
exec python3 -B "$folder/case.py"
