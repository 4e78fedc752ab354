#!/usr/bin/env bash
# Builds the stand-ins of the scripts. They are Python (3.11 or later, standard library only).
cd "$(dirname "$0")" && exec python3 -m py_compile common/standins.py common/cluster.py ./*/case.py
