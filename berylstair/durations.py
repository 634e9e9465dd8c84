"""Recent durations of one kind of work."""

from collections import deque
from statistics import fmean, quantiles

__all__ = ['Durations']

_WINDOW_SAMPLES = 128
_MIN_SAMPLES = 16
_REFRESH_INTERVAL_SAMPLES = 16
_QUANTILE_COUNT = 20
_DEFAULT_P95_RATIO = 2.0
_STRAGGLER_RATIO = 2.0


class Durations:
    """Recent durations of one kind of work, in seconds.

    Attributes:
        mean_s: Mean.
        p95_s: 95th percentile; twice the default mean until there are enough samples.
        has_enough_samples: Whether the percentile is taken from samples.
    """

    def __init__(self, default_s: float) -> None:
        """Starts without samples.

        Args:
            default_s: Mean assumed until there are enough samples, in seconds.
        """
        self.mean_s = default_s
        self.p95_s = default_s * _DEFAULT_P95_RATIO
        self.has_enough_samples = False
        self._samples_s: deque[float] = deque(maxlen=_WINDOW_SAMPLES)
        self._samples_since_refresh = 0

    def add(self, duration_s: float) -> None:
        """Adds one duration in seconds."""
        self._samples_s.append(duration_s)
        self._samples_since_refresh += 1
        if self._samples_since_refresh >= _REFRESH_INTERVAL_SAMPLES:
            self._refresh()

    @property
    def straggler_threshold_s(self) -> float | None:
        """Age in seconds at which an attempt is a straggler, None without enough samples."""
        if not self.has_enough_samples:
            return None
        return max(self.p95_s, self.mean_s * _STRAGGLER_RATIO)

    def _refresh(self) -> None:
        """Recomputes the mean and, from enough samples, the 95th percentile."""
        self._samples_since_refresh = 0
        self.mean_s = fmean(self._samples_s)
        if len(self._samples_s) >= _MIN_SAMPLES:
            self.p95_s = quantiles(self._samples_s, n=_QUANTILE_COUNT)[-1]
            self.has_enough_samples = True
