#!/usr/bin/env bash
# After the build of the deploy file: makes ready what the scripts of the cases 6 to 10 start.
# All stand-ins are Python and need the standard library and the app server's own packages alone.
# Cases 8 to 10 start the devices' edge, which needs the two packages of requirements-edge.txt.
# Where they cannot be had, review/standins-2/edge-libraries/ has a substitute of each.
set -eu
cd "$(dirname "$0")/.."
[ -x .venv/bin/python ] || { echo 'Run the build of deploy/balancer.toml first.'; exit 1; }
.venv/bin/python -B -c 'import cbor2, xxhash' 2> /dev/null ||
  timeout 120 .venv/bin/pip -q install --retries 0 --timeout 10 -r requirements-edge.txt 2> /dev/null ||
  echo 'The packages of the edge cannot be had: the substitutes are used.'
for file in review/standins-2/*.py review/standins-2/edge-libraries/*.py review/{6,7,8,9,10}/case.py; do
  [ ! -e "$file" ] || .venv/bin/python -B -c "compile(open('$file').read(), '$file', 'exec')"
done
