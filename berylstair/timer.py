"""Timers of the decision core; the shell only has to call in time."""

import heapq
from collections.abc import Callable
from itertools import count

__all__ = ['Timers']

Callback = Callable[[float], None]


class Timers:
    """Calls functions at given times, in the order of those times."""

    def __init__(self) -> None:
        """Starts without timers."""
        self._heap: list[tuple[float, int, Callback]] = []
        self._sequence = count()

    @property
    def next_at(self) -> float | None:
        """When the next timer is due, None without one."""
        return self._heap[0][0] if self._heap else None

    def schedule(self, at: float, callback: Callback) -> None:
        """Calls the function with the current time once ``at`` has come."""
        heapq.heappush(self._heap, (at, next(self._sequence), callback))

    def run_due(self, now: float) -> None:
        """Calls every function that is due."""
        while self._heap and self._heap[0][0] <= now:
            _, _, callback = heapq.heappop(self._heap)
            callback(now)
