"""Runs the command line as ``python -m berylstair``."""

from berylstair.cli import main

__all__ = ()

main()
