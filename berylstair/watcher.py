"""Actor that reads and watches the configuration source."""

import time
from collections.abc import Callable
from random import Random
from typing import Any

import pykka

from berylstair.errors import SourceError
from berylstair.event import Event, RecordRead, SourceConfirmed, SourceFailed
from berylstair.source import ConfigurationSource

__all__ = ['StartRead', 'WatcherActor']

WATCH_TIMEOUT_S = 10.0
CHECK_INTERVAL_S = 20.0
RETRY_DELAY_S = 0.5
_RETRY_JITTER_RATIO = 0.5


class StartRead:
    """Message that starts the first read; the actor sends it to itself for the next."""


class WatcherActor(pykka.ThreadingActor):
    """Watches the source if this instance is a source reader, else polls it.

    A few source readers in each availability zone keep a long poll open; the
    other instances learn of changes from their peers and read the source only
    every ``CHECK_INTERVAL_S`` seconds.
    """

    use_daemon_thread = True

    def __init__(
        self,
        source: ConfigurationSource,
        post_event: Callable[[Event], None],
        is_source_reader: Callable[[], bool],
        rng: Random,
    ) -> None:
        """Sets up the actor; reading begins with the first ``StartRead``.

        Args:
            source: Configuration source to read.
            post_event: Receives the events.
            is_source_reader: Returns whether this instance is a source reader.
            rng: Random generator for the jitter of retries.
        """
        super().__init__()
        self._source = source
        self._post_event = post_event
        self._is_source_reader = is_source_reader
        self._rng = rng
        self._era = 0
        self._revision = 0
        self._place = type(source).__name__

    def on_receive(self, message: Any) -> None:
        """Reads the source once, then sends itself the message again for the next read."""
        if isinstance(message, StartRead):
            self._read_once()
            self.actor_ref.tell(message)

    def _read_once(self) -> None:
        is_watch = self._revision > 0 and self._is_source_reader()
        try:
            source_read = self._source.read(self._revision, WATCH_TIMEOUT_S if is_watch else 0)
        except SourceError:
            self._revision = 0
            self._post_event(SourceFailed())
            time.sleep(RETRY_DELAY_S * (1 + self._rng.random() * _RETRY_JITTER_RATIO))
            return
        is_restored = self._revision > 0 and source_read.era != self._era
        is_revision_older = source_read.revision < self._revision
        self._era = source_read.era
        # The revision that was asked for belongs to another era, so all records are read next.
        self._revision = 0 if is_restored else source_read.revision
        for text in source_read.texts:
            self._post_event(RecordRead(self._place, text))
        if is_restored:
            return
        if not is_revision_older:
            self._post_event(SourceConfirmed())
        if not is_watch and not source_read.texts:
            self._wait_for_next_check()

    def _wait_for_next_check(self) -> None:
        """Waits until the next check is due or this instance becomes a source reader."""
        deadline = time.monotonic() + CHECK_INTERVAL_S
        while time.monotonic() < deadline and not self._is_source_reader():
            time.sleep(RETRY_DELAY_S)
