"""Actions that both decision cores return for their event loops to carry out."""

from typing import NamedTuple

__all__ = ['LogEntry', 'Stopped']


class LogEntry(NamedTuple):
    """Write a numbered event to the log."""

    event_number: int
    detail: str


class Stopped(NamedTuple):
    """The planned stop is complete; the process may exit."""
