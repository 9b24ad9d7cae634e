#!/bin/sh
# Runs the case; TROUBLE=0 leaves out the disruption. Exit: 1 broken, 0 held, 2 not run.
cd "$(dirname "$0")" && exec python3 case.py
