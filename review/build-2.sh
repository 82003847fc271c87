#!/bin/sh
# The stand-ins of cases 7 to 10 are Python scripts (standard library only): nothing has to be built.
set -e
cd "$(dirname "$0")"
python3 -c 'import sys; sys.exit(sys.version_info < (3, 9))'
python3 -m py_compile lib-2/small_deployment.py
