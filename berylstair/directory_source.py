"""Where the directory of routes and backend servers is read."""

from abc import ABC, abstractmethod
from typing import NamedTuple

from berylstair.directory import SourceChange
from berylstair.errors import SourceError

__all__ = ['DirectorySource', 'HistoryLost', 'SourceListing']


class SourceListing(NamedTuple):
    """One answer of a source.

    Attributes:
        revision: Revision up to which the answer is complete.
        changes: Items or changes.
    """

    revision: int
    changes: tuple[SourceChange, ...]


class HistoryLost(SourceError):
    """The source no longer knows what changed after the given revision."""


class DirectorySource(ABC):
    """A service that can be listed and watched, never written."""

    @abstractmethod
    def read_all(self) -> SourceListing:
        """Reads everything.

        Raises:
            SourceError: The source cannot be read now.
        """

    @abstractmethod
    def watch(self, after_revision: int, wait_s: float) -> SourceListing:
        """Waits for changes after a revision.

        Raises:
            HistoryLost: A listing is needed first.
            SourceError: The source cannot be read now.
        """

    @abstractmethod
    def close(self) -> None:
        """Ends a call in progress and lets go of connections."""
