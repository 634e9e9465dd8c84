"""Clock of a soak run."""

import time

__all__ = ['RunClock']


class RunClock:
    """Measures the time since the run started."""

    def __init__(self) -> None:
        """Starts the clock at 0 s."""
        self._started_at = time.monotonic()

    def now(self) -> float:
        """Returns the seconds since the start."""
        return time.monotonic() - self._started_at

    def time_ms(self) -> int:
        """Returns the time of day in milliseconds since the Unix epoch."""
        return round(time.time() * 1000)
