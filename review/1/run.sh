#!/usr/bin/env bash
# Exit 1: the rule was broken. 0: it held. 2: the case could not run.
folder=$(cd "$(dirname "${BASH_SOURCE[0]}")" && pwd) || exit 2
cd "$folder/../.." || exit 2
exec python3 "$folder/case.py"
