#!/bin/sh
# Builds what the scripts of review/6 and later start: the server, with the build of the deploy file. The stand-ins are
# Python modules of review/common_2 and need only the standard library and msgpack, which that build installs.
set -e
cd "$(dirname "$0")/.."
sh -c "$(sed -n 's/^build = "\(.*\)"$/\1/p' deploy/balancer.toml)"
.venv/bin/python -B -c "import sys; sys.path.insert(0, 'review/common_2'); import world"
echo "built"
