"""The actor that reads the directory's source."""

import time
from collections.abc import Callable
from random import Random
from typing import Any, NamedTuple

import pykka

from berylstair.directory_source import DirectorySource, HistoryLost, SourceListing
from berylstair.errors import SourceError

__all__ = ['DirectoryReader', 'ReadDirectory', 'ReadPlan']

# A watch that hears nothing is asked again well inside the times in which a
# leaving server and a configuration must be followed.
WATCH_TIMEOUT_S = 1.0
RETRY_BASE_DELAY_S = 0.15
RETRY_MAX_DELAY_S = 0.8
IDLE_POLL_INTERVAL_S = 0.2


class ReadDirectory:
    """Message that starts to read, until the process ends."""


class ReadPlan(NamedTuple):
    """What the steering core wants of the reader.

    Attributes:
        is_due: Whether the source is to be read now.
        revision: Revision up to which the directory is known, 0 at first.
    """

    is_due: bool
    revision: int


class ReadSink(NamedTuple):
    """Where the reader hands over what it found.

    Attributes:
        take: Takes a listing and whether it holds all items.
        fail: Takes the reason of a failed call.
    """

    handle_listing: Callable[[SourceListing, bool], None]
    handle_failure: Callable[[str], None]


class DirectoryReader(pykka.ThreadingActor):
    """Lists the source once, then watches it while the plan says so."""

    use_daemon_thread = True

    def __init__(
        self,
        source: DirectorySource,
        plan: Callable[[], ReadPlan],
        sink: ReadSink,
        rng: Random,
    ) -> None:
        """Prepares the reader.

        Args:
            source: Where to read.
            plan: Tells what is to be read; called from the actor's thread.
            sink: Takes what is found; its functions may be called from any
                thread.
            rng: Spreads retries.
        """
        super().__init__()
        self._source = source
        self._plan = plan
        self._sink = sink
        self._rng = rng
        self._needs_listing = False
        self._failure_count = 0

    def on_receive(self, message: Any) -> None:
        """Reads once and asks itself for the next read."""
        if isinstance(message, ReadDirectory):
            self._read_if_due()
            self.actor_ref.tell(message)

    def _read_if_due(self) -> None:
        plan = self._plan()
        if not plan.is_due:
            time.sleep(IDLE_POLL_INTERVAL_S)
            return
        try:
            self._read(plan.revision)
        except HistoryLost as error:
            self._needs_listing = True
            self._sink.handle_failure(str(error))
        except SourceError as error:
            self._failure_count += 1
            self._sink.handle_failure(str(error))
            delay_s = min(RETRY_BASE_DELAY_S * 2 ** min(self._failure_count, 4), RETRY_MAX_DELAY_S)
            time.sleep(delay_s * (0.5 + self._rng.random() / 2))

    def _read(self, revision: int) -> None:
        is_full_listing = self._needs_listing or revision == 0
        if is_full_listing:
            listing = self._source.read_all()
        else:
            listing = self._source.watch(revision, WATCH_TIMEOUT_S)
        self._needs_listing = False
        self._failure_count = 0
        self._sink.handle_listing(listing, is_full_listing)
