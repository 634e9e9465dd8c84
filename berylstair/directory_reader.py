"""Actor that reads the source of the directory."""

import time
from collections.abc import Callable
from contextlib import suppress
from random import Random
from typing import Any, NamedTuple

import pykka

from berylstair.directory import START_POSITION, Position
from berylstair.directory_source import (
    DirectorySource,
    HistoryLost,
    SourceListing,
    SourceRestored,
)
from berylstair.errors import SourceError

__all__ = ['DirectoryReader', 'ReadDirectory', 'ReadPlan']

# A watch that sees no change is repeated after this time, well within the limits for
# following a leaving server and a new configuration.
WATCH_TIMEOUT_S = 1.0
RETRY_BASE_DELAY_S = 0.15
RETRY_MAX_DELAY_S = 0.8
IDLE_POLL_INTERVAL_S = 0.2


class ReadDirectory:
    """Message that starts the read loop, which runs until the process ends."""


class ReadPlan(NamedTuple):
    """Tells the reader whether to read, and from which position on.

    Attributes:
        is_due: Whether the source is to be read now.
        position: Position up to which the directory is complete.
    """

    is_due: bool
    position: Position


class ReadSink(NamedTuple):
    """Callbacks that receive the results of the reader.

    Attributes:
        handle_listing: Receives a listing and whether it holds all items.
        handle_failure: Receives the reason why a read failed.
    """

    handle_listing: Callable[[SourceListing, bool], None]
    handle_failure: Callable[[str], None]


class DirectoryReader(pykka.ThreadingActor):
    """Lists the source once, then watches it whenever the plan says that a read is due.

    Lists it again if the source no longer has the changes to watch from.
    """

    use_daemon_thread = True

    def __init__(
        self,
        source: DirectorySource,
        plan: Callable[[], ReadPlan],
        sink: ReadSink,
        rng: Random,
        pause: Callable[[float], None] = time.sleep,
    ) -> None:
        """Prepares the reader.

        Args:
            source: Source to read.
            plan: Returns what to read; called from the actor's thread.
            sink: Receives the results; its functions are called from the actor's
                thread and must be safe to call from any thread.
            rng: Adds jitter to the retry delays.
            pause: Blocks the actor's thread for a number of seconds.
        """
        super().__init__()
        self._source = source
        self._plan = plan
        self._sink = sink
        self._rng = rng
        self._pause = pause
        self._position = START_POSITION
        self._needs_listing = False
        self._failure_count = 0

    def on_receive(self, message: Any) -> None:
        """Reads once, then sends itself the message again for the next read."""
        if isinstance(message, ReadDirectory):
            self._read_if_due()
            self.actor_ref.tell(message)

    def _read_if_due(self) -> None:
        plan = self._plan()
        if not plan.is_due:
            self._pause(IDLE_POLL_INTERVAL_S)
            return
        try:
            self._read(plan.position)
        except Exception as error:  # noqa: BLE001 no answer of the source may end the reader
            self._needs_listing = self._needs_listing or isinstance(error, HistoryLost)
            self._sink.handle_failure(_describe_failure(error))
            self._pause(self._next_retry_delay_s())

    def _next_retry_delay_s(self) -> float:
        """Returns the pause after another failure, which grows up to a limit, with jitter."""
        self._failure_count += 1
        delay_s = min(RETRY_BASE_DELAY_S * 2 ** min(self._failure_count, 4), RETRY_MAX_DELAY_S)
        return delay_s * (0.5 + self._rng.random() / 2)

    def _read(self, position: Position) -> None:
        listing, is_full_listing = self._read_source(position)
        self._needs_listing = False
        self._failure_count = 0
        self._position = listing.position
        self._sink.handle_listing(listing, is_full_listing)

    def _read_source(self, position: Position) -> tuple[SourceListing, bool]:
        """Returns an answer of the source, and whether it holds all items."""
        if not self._needs_listing and position != START_POSITION:
            # After a failure the answer is needed at once: it ends the outage for all.
            wait_s = 0 if self._failure_count else WATCH_TIMEOUT_S
            with suppress(SourceRestored):
                return self._source.watch(self._choose_start(position), wait_s), False
        return self._source.read_all(), True

    def _choose_start(self, position: Position) -> Position:
        """Returns where a watch begins: at the last answer if that is of a later era.

        The answer may not have been applied to the directory yet.
        """
        return self._position if self._position.era > position.era else position


def _describe_failure(error: Exception) -> str:
    return str(error) if isinstance(error, SourceError) else repr(error)
