"""Builds the program as one file: a zipapp of pure-Python wheels.

The program unpacks no files and starts no second process. Compiled modules
cannot be loaded from a zip file, so they are left out; every library has a
fallback in pure Python.
"""

import compileall
import py_compile
import shutil
import subprocess
import sys
import tempfile
import tomllib
import zipapp
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
INTERPRETER = '/usr/bin/env python3.11'
ENTRY_POINT = 'berylstair.cli:main'
EXCLUDED_PATTERNS = ('*.so', '__pycache__', 'bin', 'tests', '*.pyi')


def build(target: Path) -> None:
    """Builds the program.

    Args:
        target: File to write.
    """
    with tempfile.TemporaryDirectory() as folder:
        stage = Path(folder)
        _install_packages(stage)
        _remove_excluded(stage)
        compileall.compile_dir(
            stage,
            stripdir=folder,
            quiet=1,
            legacy=True,
            invalidation_mode=py_compile.PycInvalidationMode.UNCHECKED_HASH,
        )
        target.parent.mkdir(parents=True, exist_ok=True)
        zipapp.create_archive(stage, target, INTERPRETER, ENTRY_POINT, compressed=True)
    target.chmod(0o755)


def _install_packages(stage: Path) -> None:
    project = tomllib.loads((ROOT / 'pyproject.toml').read_text(encoding='utf-8'))['project']
    subprocess.run(
        [
            sys.executable,
            '-m',
            'pip',
            'install',
            '--quiet',
            '--no-compile',
            '--constraint',
            str(ROOT / 'requirements.lock'),
            '--target',
            str(stage),
            *project['dependencies'],
        ],
        check=True,
    )
    shutil.copytree(ROOT / 'berylstair', stage / 'berylstair')


def _remove_excluded(stage: Path) -> None:
    for pattern in EXCLUDED_PATTERNS:
        for path in list(stage.rglob(pattern)):
            if path.is_dir():
                shutil.rmtree(path)
            else:
                path.unlink()


if __name__ == '__main__':
    build(Path(sys.argv[1]))
