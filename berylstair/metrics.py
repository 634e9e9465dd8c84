"""Prometheus metrics of an instance."""

from collections.abc import Callable, Iterable

from prometheus_client import CollectorRegistry
from prometheus_client.core import GaugeMetricFamily, Metric
from prometheus_client.exposition import generate_latest
from prometheus_client.registry import Collector

from berylstair.count_metrics import count_families
from berylstair.status import Status

__all__ = ['render_metrics']


class _StatusCollector(Collector):
    """Turns one status into metric families."""

    def __init__(self, status: Status) -> None:
        """Keeps the status."""
        self._status = status

    def collect(self) -> Iterable[Metric]:
        """Yields every family; each known label is there from the start."""
        status = self._status
        yield from count_families(status.refusals, status.retries, status.traffic)
        yield from self._gauge_families()

    def _gauge_families(self) -> Iterable[Metric]:
        status = self._status
        gauges: tuple[tuple[str, str, float], ...] = (
            ('open_flows', 'Flow bindings held.', status.open_flows),
            ('requests_in_progress', 'Requests not ended.', status.requests_in_progress),
            ('peers_reachable', 'Other instances heard.', len(status.peers_reachable)),
            ('is_ready', 'One while packets are served.', float(status.is_ready)),
        )
        for name, documentation, value in gauges:
            yield GaugeMetricFamily(f'berylstair_{name}', documentation, value=value)
        versions = GaugeMetricFamily(
            'berylstair_record_version',
            'Version in force, by record.',
            labels=('key',),
        )
        for record in status.records:
            versions.add_metric((record.key,), record.version)
        yield versions


def render_metrics(read_status: Callable[[], Status]) -> bytes:
    """Renders the metrics in the Prometheus text format.

    Args:
        read_status: Returns the present status.

    Returns:
        The text.
    """
    registry = CollectorRegistry()
    registry.register(_StatusCollector(read_status()))
    return generate_latest(registry)
