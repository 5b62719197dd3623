#!/usr/bin/env bash
# Builds what the scripts of review/11 to review/15 start beside the deploy file's build.
# The stand-ins are Python files without dependencies; they are only checked here.
set -euo pipefail
cd "$(dirname "$0")/.."
python3 - <<'CHECK'
import pathlib

folders = [pathlib.Path("review/common3"), *map(pathlib.Path, map("review/{}".format, range(11, 16)))]
for path in (path for folder in folders for path in sorted(folder.glob("*.py"))):
    compile(path.read_text(), str(path), "exec")
CHECK
