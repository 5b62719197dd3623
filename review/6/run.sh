#!/usr/bin/env bash
# Runs the case; TROUBLE=0 leaves the disruption out. See claim.txt.
set -eu
exec python3 "$(dirname "$0")/case.py"
