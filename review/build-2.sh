#!/usr/bin/env bash
# The stand-ins of the scripts in review/6 to review/10 are Python files, for which nothing has to be built.
set -euo pipefail
cd "$(dirname "$0")"
python3 - <<'PY'
import ast
import pathlib
for folder in ("lib-2", "6", "7", "8", "9", "10"):
    for path in pathlib.Path(folder).glob("*.py"):
        ast.parse(path.read_text(), str(path))
PY
