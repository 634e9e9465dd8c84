"""Speeds of the servers of one service, from the work times of flows that had a slot at once.

Load pattern: servers that differ by 2.4 times in speed, at 50 to 95% of their slots, with
some that fail part of their requests at once. A fast server's times all shrink by the
same factor. The times of a server that fails requests are a mixture: some are far below
what any work takes. Its level is therefore taken from its longer times, and it gets no
advantage while its shortest times are farther below its level than other servers' are.
"""

import math
from array import array
from collections.abc import Collection, Iterable, Sequence
from dataclasses import dataclass, field
from statistics import fmean, median, pvariance
from typing import NamedTuple

__all__ = ['ServerSpeed', 'compare_speeds']

# Work times of one server that are kept. The level taken from them is exact to about 6%
# where work times vary by half of their mean.
_WINDOW_SAMPLES = 128
# Shorter work times, relative to the mean of their kind, count as this.
MIN_WORK_RATIO = 0.001
# Half a kilobyte for each server; a list would take four.
_SINGLE_PRECISION = 'f'
MIN_SAMPLES = 48
# Speeds are compared once this many servers have enough samples, and half of the service's:
# the chance in the levels of fewer is not known.
MIN_SERVERS = 6
MIN_MEASURED_RATIO = 0.5
# The level is the mean of the samples in this part of their order. It is above the share of
# requests that a server may fail at once, and below the share of stragglers.
_LEVEL_FROM = 0.5
_LEVEL_TO = 0.9
# The short time of a server is the sample at this place of the order; a server that fails a
# larger share of its requests at once is recognised by it.
_SHORT_TIME_AT = 0.2
# Ratio by which the short time of a server that fails requests is below that of others, at
# least, relative to the level: no work is done in that time.
MIN_FAILURE_GAP = math.log(1.6)
# Standard errors by which a difference exceeds chance.
_CERTAIN_ERRORS = 5
# Bounds of the relative work time; servers are known to differ by up to 2.4 times.
MIN_RELATIVE_TIME = 0.5
MAX_RELATIVE_TIME = 3.0
# Half-life of a speed that no new sample confirms. Speed is a property of the machine, but
# faults that slow a server down end unobserved.
SPEED_HALF_LIFE_S = 30.0
_HALF = 0.5
# Standard deviation of a normal distribution, relative to the median deviation.
_ERROR_TO_MEDIAN = 1.4826
# Sorting the work times at each of them would take a twentieth of a core.
_MEASURE_EVERY_SAMPLES = 32


def _make_samples() -> 'array[float]':
    return array(_SINGLE_PRECISION)


class _Shape(NamedTuple):
    """Logarithms of the level of some work times and of its ratio to the short ones."""

    level: float
    gap: float


class _Shapes(NamedTuple):
    """Shape of a server's work times, and of every other one of them.

    The difference between the two halves shows what chance does.
    """

    whole: _Shape
    first_half: _Shape
    second_half: _Shape


@dataclass(slots=True)
class ServerSpeed:
    """Work times of one server and what they say beside those of the others.

    Attributes:
        relative_time: Its work time relative to the typical server's, 1 unless the servers
            of the service differ by more than chance.
        fails_requests: Whether its work times are a mixture with times in which no work is
            done.
    """

    relative_time: float = 1.0
    fails_requests: bool = False
    _log_times: 'array[float]' = field(default_factory=_make_samples)
    _next_index: int = 0
    _sampled_at: float = -math.inf
    _samples_since_measured: int = 0
    _shapes: _Shapes | None = None

    def add(self, work_ratio: float, now: float) -> None:
        """Adds a work time, relative to the mean of its kind."""
        log_time = math.log(max(work_ratio, MIN_WORK_RATIO))
        if len(self._log_times) < _WINDOW_SAMPLES:
            self._log_times.append(log_time)
        else:
            self._log_times[self._next_index] = log_time
            self._next_index = (self._next_index + 1) % _WINDOW_SAMPLES
        self._sampled_at = now
        self._samples_since_measured += 1
        if self._samples_since_measured >= _MEASURE_EVERY_SAMPLES:
            self._measure()

    def expected_time(self, now: float) -> float:
        """Returns the work time relative to the typical server's, decayed towards 1."""
        if self.relative_time == 1:
            return 1.0
        half_lives = max(now - self._sampled_at, 0) / SPEED_HALF_LIFE_S
        return self.relative_time ** (_HALF**half_lives)

    @property
    def shapes(self) -> _Shapes | None:
        """Shape of the work times, None while there are too few."""
        return self._shapes

    def clear(self) -> None:
        """Withdraws the advantage or disadvantage of the server."""
        self.relative_time = 1.0
        self.fails_requests = False

    def _measure(self) -> None:
        self._samples_since_measured = 0
        samples = self._log_times
        if len(samples) >= MIN_SAMPLES:
            self._shapes = _Shapes(
                _measure_shape(samples), _measure_shape(samples[::2]), _measure_shape(samples[1::2])
            )


def compare_speeds(servers: Collection[ServerSpeed]) -> None:
    """Compares the servers of one service and updates their relative times.

    Differences that chance explains have no effect; larger ones count less the nearer they
    are to that.
    """
    measured = [(speed, speed.shapes) for speed in servers if speed.shapes is not None]
    compared = [(speed, shapes) for speed, shapes in measured if shapes is not None]
    if len(compared) < max(MIN_SERVERS, len(servers) * MIN_MEASURED_RATIO):
        for speed, _ in compared:
            speed.clear()
        return
    _mark_failing(compared)
    sound = [shapes for speed, shapes in compared if not speed.fails_requests]
    weight = _weight_of_differences(sound)
    typical = median(shapes.whole.level for shapes in sound)
    for speed, shapes in compared:
        ratio = math.exp(weight * (shapes.whole.level - typical))
        least = 1.0 if speed.fails_requests else MIN_RELATIVE_TIME
        speed.relative_time = min(max(ratio, least), MAX_RELATIVE_TIME)


def _mark_failing(compared: Sequence[tuple[ServerSpeed, _Shapes]]) -> None:
    """Marks the servers whose short times are farther below their level than others' are."""
    typical_gap = median(shapes.whole.gap for _, shapes in compared)
    error = _standard_error(
        shapes.first_half.gap - shapes.second_half.gap for _, shapes in compared
    )
    limit = typical_gap + max(MIN_FAILURE_GAP, _CERTAIN_ERRORS * error)
    for speed, shapes in compared:
        speed.fails_requests = shapes.whole.gap > limit


def _weight_of_differences(compared: Sequence[_Shapes]) -> float:
    """Returns the weight from 0 to 1 of the differences between the levels of servers."""
    if len(compared) < MIN_SERVERS:
        return 0.0
    spread = pvariance(shapes.whole.level for shapes in compared)
    chance = fmean(
        (_HALF * (shapes.first_half.level - shapes.second_half.level)) ** 2 for shapes in compared
    )
    # Both variances are themselves uncertain, the more so the fewer the servers are.
    certainty = 1 + 2 * _CERTAIN_ERRORS * math.sqrt(2 / (len(compared) - 1))
    return max(1 - certainty * chance / spread, 0) if spread else 0.0


def _standard_error(half_differences: Iterable[float]) -> float:
    """Returns the standard error of a measure, from its differences between two halves.

    The median keeps the servers that fail requests, whose halves differ more, from counting.
    """
    return _HALF * _ERROR_TO_MEDIAN * median(abs(difference) for difference in half_differences)


def _measure_shape(log_times: Sequence[float]) -> _Shape:
    ordered = sorted(log_times)
    count = len(ordered)
    level = fmean(ordered[int(count * _LEVEL_FROM) : int(count * _LEVEL_TO)])
    return _Shape(level, level - ordered[int(count * _SHORT_TIME_AT)])
