#!/bin/sh
# Plays the case; see claim.txt. TROUBLE=0 leaves the disruption out.
exec python3 -B "$(dirname "$0")/case.py"
