"""Timers of the decision core, which the event loop runs when they are due."""

import heapq
from collections.abc import Callable
from itertools import count

__all__ = ['Timers']

Callback = Callable[[float], None]


class Timers:
    """Calls functions at given times, in the order of those times."""

    def __init__(self) -> None:
        """Sets up an empty queue of timers."""
        self._heap: list[tuple[float, int, Callback]] = []
        self._sequence = count()

    @property
    def next_at(self) -> float | None:
        """Time at which the next timer is due, None if there is none."""
        return self._heap[0][0] if self._heap else None

    def schedule(self, at: float, callback: Callback) -> None:
        """Schedules a call of the function, with the then current time, at or after ``at``."""
        heapq.heappush(self._heap, (at, next(self._sequence), callback))

    def run_due(self, now: float) -> None:
        """Calls every function that is due, including those scheduled by these calls."""
        while self._heap and self._heap[0][0] <= now:
            _, _, callback = heapq.heappop(self._heap)
            callback(now)
