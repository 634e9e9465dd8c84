"""Interface of the source that the directory of routes and backend servers is read from."""

from abc import ABC, abstractmethod
from typing import NamedTuple

from berylstair.directory import Position, SourceChange
from berylstair.errors import SourceError

__all__ = [
    'DirectorySource',
    'HistoryLost',
    'PositionNotReached',
    'SourceListing',
    'SourceRestored',
]


class SourceListing(NamedTuple):
    """One answer of a source.

    Attributes:
        position: Position up to which the answer is complete.
        changes: Items of a listing, or changes seen by a watch.
    """

    position: Position
    changes: tuple[SourceChange, ...]


class HistoryLost(SourceError):
    """The source no longer has the changes after the given position."""


class SourceRestored(HistoryLost):
    """The source was restored from a copy since the given position, or between two pages."""


class PositionNotReached(SourceError):
    """The source has not reached the era of the given position; a listing shows where it is."""


class DirectorySource(ABC):
    """Read-only source that can be listed and watched."""

    @abstractmethod
    def read_all(self) -> SourceListing:
        """Reads all items.

        Raises:
            SourceRestored: The source was restored meanwhile.
            SourceError: The source cannot be read now.
        """

    @abstractmethod
    def watch(self, after: Position, wait_s: float) -> SourceListing:
        """Waits for changes after a position.

        Raises:
            SourceRestored: The position is of an earlier era.
            HistoryLost: The source no longer has the changes; a listing is needed first.
            PositionNotReached: The position is of an era that the source has not reached.
            SourceError: The source cannot be read now.
        """

    @abstractmethod
    def close(self) -> None:
        """Aborts a call in progress and closes connections."""
