"""Time of a run."""

import time

__all__ = ['RunClock']


class RunClock:
    """Seconds since the run began."""

    def __init__(self) -> None:
        """Starts at zero."""
        self._started_at = time.monotonic()

    def now(self) -> float:
        """Returns the seconds since the start."""
        return time.monotonic() - self._started_at

    def time_ms(self) -> int:
        """Returns the time of day in ms since 1970."""
        return round(time.time() * 1000)
