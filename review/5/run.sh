#!/usr/bin/env bash
# A daemon misses that a backend drains, as it reported between two pages of the list.
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
set -euo pipefail
here=$(cd "$(dirname "$0")" && pwd)
cd "$here/../.."
exec java -Xmx512m -cp target/review review.DrainCase "$here"
