#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
# TROUBLE=0 does the same without the disruption; play.py gets it as its argument.
cd "$(dirname "$0")" && exec python3 -B play.py "${TROUBLE:-1}"
