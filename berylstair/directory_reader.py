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
    PositionNotReached,
    SourceListing,
    SourceRestored,
)
from berylstair.errors import SourceError
from berylstair.read_schedule import ReadPlan
from berylstair.serving import boot_clock

__all__ = ['DirectoryReader', 'ReadDirectory', 'ReadSink', 'SourceAnswer']

RETRY_BASE_DELAY_S = 0.15
RETRY_MAX_DELAY_S = 0.8
IDLE_POLL_INTERVAL_S = 0.2
# Failures of a watch after which only a listing can tell what the source holds.
_LISTING_ERRORS = (HistoryLost, PositionNotReached)


class ReadDirectory:
    """Message that starts the read loop, which runs until the process ends."""


class SourceAnswer(NamedTuple):
    """An answer of the source.

    Attributes:
        is_full_listing: Whether it holds all items.
        confirmed_at: A time up to which it is complete.
        refuted: Position that the directory had before the call, if the source has
            not reached it.
    """

    listing: SourceListing
    is_full_listing: bool
    confirmed_at: float
    refuted: Position | None = None


class ReadSink(NamedTuple):
    """Callbacks that receive the results of the reader.

    Attributes:
        handle_answer: Applies an answer; returns whether it was applied.
        handle_failure: Receives the reason why a read failed.
    """

    handle_answer: Callable[[SourceAnswer], bool]
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
        clock: Callable[[], float] = boot_clock,
    ) -> None:
        """Prepares the reader.

        Args:
            source: Source to read.
            plan: Returns what to read; called from the actor's thread.
            sink: Receives the results; its functions are called from the actor's
                thread and must be safe to call from any thread.
            rng: Adds jitter to the retry delays.
            pause: Blocks the actor's thread for a number of seconds.
            clock: Returns the current time in seconds.
        """
        super().__init__()
        self._source = source
        self._plan = plan
        self._sink = sink
        self._rng = rng
        self._pause = pause
        self._clock = clock
        self._position = START_POSITION
        self._needs_listing = False
        self._failure_count = 0

    def on_receive(self, message: Any) -> None:
        """Reads once, then sends itself the message again for the next read."""
        if isinstance(message, ReadDirectory):
            self._read_if_due()
            self.actor_ref.tell(message)

    def _read_if_due(self) -> None:
        try:
            plan = self._plan()
            if plan.is_due:
                self._read(plan)
                return
        except Exception as error:  # noqa: BLE001 no answer of the source may end the reader
            self._needs_listing = self._needs_listing or isinstance(error, _LISTING_ERRORS)
            self._sink.handle_failure(_describe_failure(error))
            self._pause(self._next_retry_delay_s())
            return
        self._pause(IDLE_POLL_INTERVAL_S)

    def _next_retry_delay_s(self) -> float:
        """Returns the pause after another failure, which grows up to a limit, with jitter."""
        self._failure_count += 1
        delay_s = min(RETRY_BASE_DELAY_S * 2 ** min(self._failure_count, 4), RETRY_MAX_DELAY_S)
        return delay_s * (0.5 + self._rng.random() / 2)

    def _read(self, plan: ReadPlan) -> None:
        answer = self._read_source(plan)
        self._needs_listing = False
        self._position = answer.listing.position
        if not self._sink.handle_answer(answer):
            raise SourceError('the answer was not applied')
        self._failure_count = 0

    def _read_source(self, plan: ReadPlan) -> SourceAnswer:
        if not self._needs_listing and plan.position != START_POSITION:
            with suppress(SourceRestored):
                return self._watch(plan)
        called_at = self._clock()
        listing = self._source.read_all()
        refuted = plan.position if listing.position < plan.position else None
        return SourceAnswer(listing, True, called_at, refuted)

    def _watch(self, plan: ReadPlan) -> SourceAnswer:
        """Watches the source.

        The answer may be read long after it was given, if the network or this
        process was slow. An empty one was given once the wait was over, any other
        at some time after the call.
        """
        # After a failure the answer is needed at once: it ends the outage for all.
        wait_s = 0 if self._failure_count else plan.wait_s
        called_at = self._clock()
        listing = self._source.watch(self._choose_start(plan.position), wait_s)
        has_waited = not listing.changes and self._clock() - called_at >= wait_s
        return SourceAnswer(listing, False, called_at + wait_s if has_waited else called_at)

    def _choose_start(self, position: Position) -> Position:
        """Returns where a watch begins: at the last answer if that is of a later era.

        The answer may not have been applied to the directory yet.
        """
        return self._position if self._position.era > position.era else position


def _describe_failure(error: Exception) -> str:
    return str(error) if isinstance(error, SourceError) else repr(error)
