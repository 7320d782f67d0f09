#!/usr/bin/env bash
# Exit code 1: the rule was broken, 0: it held, 2: the case could not run. TROUBLE=0: no disruption.
cd "$(dirname "$0")/../.." || exit 2
export PYTHONPATH="$PWD:$PWD/review/standins-2" EDGE_LIBRARIES=
if ! .venv/bin/python -B -c 'import cbor2, xxhash' 2> /dev/null; then
  EDGE_LIBRARIES="$PWD/review/standins-2/edge-libraries"
  PYTHONPATH="$PYTHONPATH:$EDGE_LIBRARIES"
fi
exec .venv/bin/python -B review/10/case.py
