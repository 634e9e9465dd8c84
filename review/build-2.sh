#!/bin/sh
# The stand-ins of cases 6 to 10 are Python and need only the standard library.
cd "$(dirname "$0")/.." || exit 1
exec python3 -m py_compile review/standins-2/standins.py
