#!/bin/sh
# Builds what the scripts start besides the system itself: the stand-ins need only Python's
# standard library, so this checks that they compile and that the system was built.
cd "$(dirname "$0")" || exit 1
python3 - <<'PY' || exit 1
import pathlib, sys
assert sys.version_info >= (3, 11), 'Python 3.11 is needed'
for path in [*pathlib.Path('standins').glob('*.py'), *pathlib.Path('.').glob('[0-9]/*.py')]:
    compile(path.read_text(encoding='utf-8'), str(path), 'exec')
PY
test -d ../target/deps || { echo 'run the build of deploy/system.toml first'; exit 1; }
