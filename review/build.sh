#!/bin/sh
# The stand-ins of the scripts are Python 3 with its standard library; there is nothing to compile.
set -e
cd "$(dirname "$0")"
PYTHONDONTWRITEBYTECODE=1 python3 -c 'import sys; sys.path.insert(0, "common"); import deployment'
