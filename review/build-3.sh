#!/usr/bin/env bash
# Builds the stand-ins that the scripts of review 3 start; the Python ones (soak/deployment.py, common-3/*.py) need
# no build. Run after the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-3
for program in lookup_server lookup_clients; do
  g++ -std=c++20 -O2 -Wall -o "target/review-3/$program" "review/common-3/$program.cpp"
done
python3 - <<'CHECK'
import ast, pathlib
for path in [pathlib.Path("soak/deployment.py"), *pathlib.Path("review/common-3").glob("*.py")]:
    ast.parse(path.read_text())
CHECK
