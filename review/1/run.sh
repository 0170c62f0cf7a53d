#!/bin/sh
# TROUBLE=0 does the same without the disruption.
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
exec python3 "$(dirname "$0")/case.py" "${TROUBLE:-1}"
