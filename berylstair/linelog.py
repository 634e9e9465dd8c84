"""Structured log with a bounded line rate that never blocks."""

import json
import os
import time

from berylstair.catalogue import LogEvent

__all__ = ['LineLog']

# At a peak load of 100 new flows per second, each flow has three lines.
MAX_LINES_PER_S = 300
_BURST_LINES = 600


class LineLog:
    """Writes one line per event to a non-blocking descriptor.

    A line is dropped and counted if it exceeds the rate or if the descriptor
    cannot take it at once, because the reader of the log is slow. The next line that
    is written is preceded by one with the number of lines dropped.
    """

    def __init__(self, descriptor: int, instance: str) -> None:
        """Makes the descriptor non-blocking.

        Args:
            descriptor: Open descriptor, usually standard output.
            instance: Id of the instance, which each line contains.
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
