#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0: without the disruption.
cd "$(dirname "$0")" || exit 2
PYTHONDONTWRITEBYTECODE=1 exec timeout --signal=KILL 118 python3 case.py
