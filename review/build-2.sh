#!/usr/bin/env bash
# Checks the stand-ins and cases of the second review, which need no build: Python 3.11 or later, standard
# library only. No stand-in of the project's own is started.
cd "$(dirname "$0")" && exec python3 -B - <<'CHECK'
import pathlib
for path in sorted([*pathlib.Path("common-2").glob("*.py"), *pathlib.Path(".").glob("[0-9]*/case.py")]):
    if "common-2" in path.parts or path.parts[0] in ("6", "7", "8", "9", "10"):
        compile(path.read_text(encoding="utf-8"), str(path), "exec")
CHECK
