"""Structured log lines of bounded volume that never block."""

import json
import os
import time

from berylstair.catalogue import LogEvent

__all__ = ['LineLog']

# Lines a second; a crest of 100 new flows a second has three lines a flow.
MAX_LINES_PER_S = 300
_BURST_LINES = 600


class LineLog:
    """Writes one line an event to a descriptor that does not block.

    A line that exceeds the rate, or that the reader of the log has no room
    for, is dropped and counted; the next line that is written tells how many.
    """

    def __init__(self, descriptor: int, instance: str) -> None:
        """Writes to an open descriptor.

        Args:
            descriptor: Standard output mostly.
            instance: Stands in each line.
        """
        self._descriptor = descriptor
        self._instance = json.dumps(instance)
        self._tokens = float(_BURST_LINES)
        self._refilled_at = time.monotonic()
        self.unreported_drops = 0
        self.dropped_count = 0
        os.set_blocking(descriptor, False)

    def write(self, event: LogEvent, detail: str) -> None:
        """Writes one event.

        Args:
            event: Number and name.
            detail: Fields as ``key=value``, separated by spaces.
        """
        if not self._take_token():
            self._record_drop()
            return
        if self.unreported_drops:
            drops = self.unreported_drops
            self.unreported_drops = 0
            self._emit(LogEvent.LINES_DROPPED, f'lines={drops}')
        self._emit(event, detail)

    def _emit(self, event: LogEvent, detail: str) -> None:
        prefix = f'E{event.value} {event.name.lower()} t={time.time():.3f} at={self._instance}'
        line = f'{prefix} {detail}\n'
        try:
            os.write(self._descriptor, line.encode())
        except OSError:
            self._record_drop()

    def _record_drop(self) -> None:
        self.unreported_drops += 1
        self.dropped_count += 1

    def _take_token(self) -> bool:
        now = time.monotonic()
        tokens = self._tokens + (now - self._refilled_at) * MAX_LINES_PER_S
        self._tokens = min(tokens, float(_BURST_LINES))
        self._refilled_at = now
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True
