"""Latency histograms of a steering instance."""

from prometheus_client import CollectorRegistry, Histogram

__all__ = ['Latencies']

# Upper bounds in seconds, from one hop between instances to the longest time that a
# caller waits.
_BUCKETS_S = (0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.4, 0.8, 1.6, 3.2, 6.4)


class Latencies:
    """Histograms of the durations of a flow's steps, in seconds.

    An offer is the forwarding of the opening segment to a server.

    Attributes:
        decision: From the first opening segment to the first offer.
        handshake: From the offer to the caller's next segment, which answers the
            server.
        work: From the offer to the beginning of the server's response, or to a
            reset by the caller.
        registry: Registry of the histograms, for rendering.
    """

    def __init__(self) -> None:
        """Creates empty histograms."""
        self.registry = CollectorRegistry()
        self.decision = self._histogram(
            'decision', 'From the first opening segment to its first forwarding to a server.'
        )
        self.handshake = self._histogram(
            'handshake', 'From forwarding the opening segment to the next segment of the caller.'
        )
        self.work = self._histogram(
            'work', 'From forwarding the opening segment to the beginning of the response.'
        )

    def _histogram(self, name: str, text: str) -> Histogram:
        return Histogram(
            f'berylstair_{name}_seconds', text, buckets=_BUCKETS_S, registry=self.registry
        )
