"""Latency histograms of a steering instance."""

from bisect import bisect_left
from itertools import accumulate

__all__ = ['Histogram', 'Latencies']

# Upper bounds in seconds, from one hop between instances to the longest time that a
# caller waits.
BUCKETS_S = (0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.4, 0.8, 1.6, 3.2, 6.4)


class Histogram:
    """Durations counted by the smallest bound that is not below them.

    Attributes:
        text: What the durations measure.
        sum_s: Sum of all durations in seconds.
    """

    def __init__(self, text: str) -> None:
        """Creates an empty histogram."""
        self.text = text
        self.sum_s = 0.0
        self._counts = [0 for _ in range(len(BUCKETS_S) + 1)]

    def observe(self, duration_s: float) -> None:
        """Counts one duration in seconds."""
        self._counts[bisect_left(BUCKETS_S, duration_s)] += 1
        self.sum_s += duration_s

    def cumulative_counts(self) -> list[tuple[str, float]]:
        """Returns each bound as text, the last one infinite, and the durations up to it."""
        bounds = (*map(str, BUCKETS_S), '+Inf')
        return list(zip(bounds, map(float, accumulate(self._counts)), strict=True))


class Latencies:
    """Histograms of the durations of a flow's steps, in seconds.

    An offer is the forwarding of the opening segment to a server.

    Attributes:
        decision: From the first opening segment to the first offer.
        handshake: From the offer to the caller's next segment, which answers the
            server.
        work: From the offer to the beginning of the server's response, or to a
            reset by the caller.
    """

    def __init__(self) -> None:
        """Creates empty histograms."""
        self.decision = Histogram(
            'From the first opening segment to its first forwarding to a server.'
        )
        self.handshake = Histogram(
            'From forwarding the opening segment to the next segment of the caller.'
        )
        self.work = Histogram(
            'From forwarding the opening segment to the beginning of the response.'
        )
