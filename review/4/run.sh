#!/usr/bin/env bash
# Plays the case and exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. record.txt gets what happened.
set -uo pipefail
folder="$(cd "$(dirname "$0")" && pwd)"
cd "$folder/../.."
if [ ! -x target/sagestand ] || [ ! -x target/review2-joined ]; then
  echo "build first: the build line of deploy/system.toml, and review/build-2.sh" >&2
  exit 2
fi
exec target/review2-joined "$folder"
