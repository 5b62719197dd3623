#!/usr/bin/env bash
# Builds the stand-ins of the review's scripts; they are Python without dependencies.
set -euo pipefail
cd "$(dirname "$0")"
python3 -m compileall -q common
