#!/usr/bin/env bash
# Builds what the scripts of cases 6 to 10 start besides the deploy file's
# programs: the stand-ins, which need python3 alone.
set -euo pipefail
cd "$(dirname "$0")"
exec python3 -m py_compile support2/http_stand_in.py support2/world.py 6/case.py 7/case.py 8/case.py 9/case.py 10/case.py
