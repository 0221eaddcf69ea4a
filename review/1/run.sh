#!/bin/sh
# Exit 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. TROUBLE=0: no SIGTERM.
exec python3 "$(dirname "$0")/case.py"
