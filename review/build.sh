#!/bin/sh
# Builds the stand-ins of the cases, after the `build` command of deploy/balancer.toml. They are
# Python programs that use what that build installs and nothing else, so this only compiles them.
cd "$(dirname "$0")/.." || exit 2
exec .venv/bin/python -B - <<'PROGRAM'
import pathlib
import sys

import msgpack

if sys.version_info < (3, 11):
    sys.exit("Python 3.11 or later is needed")
for path in sorted(pathlib.Path("review").rglob("*.py")):
    compile(path.read_text(encoding="utf-8"), str(path), "exec")
print("stand-ins are ready, msgpack", ".".join(map(str, msgpack.version)))
PROGRAM
