#!/usr/bin/env bash
# Builds what the scripts of review/6 to review/10 start, after the build of deploy/system.toml. Their
# stand-ins are Python programs of the standard library alone, so only their syntax is checked here.
set -eu
cd "$(dirname "$0")"
python3 -c 'import sys; sys.exit(sys.version_info < (3, 8))'
for file in src-2/*.py 6/*.py 7/*.py 8/*.py 9/*.py 10/*.py; do
  [ ! -e "$file" ] || python3 -c 'import ast, sys; ast.parse(open(sys.argv[1]).read(), sys.argv[1])' "$file"
done
test -e ../target/galenapost.jar
