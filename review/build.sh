#!/usr/bin/env bash
# Builds the stand-ins and the cases. They need nothing but Python 3.11.
cd "$(dirname "${BASH_SOURCE[0]}")/.." || exit 1
python3 - <<'PYTHON'
import pathlib

for path in sorted(pathlib.Path('review').rglob('*.py')):
    compile(path.read_text(), str(path), 'exec')
PYTHON
