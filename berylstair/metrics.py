"""Prometheus metrics of an entry instance."""

from collections.abc import Callable, Iterable

from prometheus_client import CollectorRegistry
from prometheus_client.core import GaugeMetricFamily, Metric
from prometheus_client.exposition import generate_latest
from prometheus_client.registry import Collector

from berylstair.count_metrics import count_families
from berylstair.status import Status

__all__ = ['render_metrics']


class _StatusCollector(Collector):
    """Converts one status to metric families."""

    def __init__(self, status: Status) -> None:
        """Sets the status to convert."""
        self._status = status

    def collect(self) -> Iterable[Metric]:
        """Yields all metric families; known labels are present even while their count is 0."""
        status = self._status
        yield from count_families(status.refusals, status.retries, status.traffic)
        yield from self._gauge_families()

    def _gauge_families(self) -> Iterable[Metric]:
        status = self._status
        gauges: tuple[tuple[str, str, float], ...] = (
            ('open_flows', 'Flow bindings in the flow table.', status.open_flows),
            ('requests_in_progress', 'Requests not yet completed.', status.requests_in_progress),
            ('peers_reachable', 'Other instances that are reachable.', len(status.peers_reachable)),
            ('is_ready', '1 while packets are served, else 0.', float(status.is_ready)),
        )
        for name, documentation, value in gauges:
            yield GaugeMetricFamily(f'berylstair_{name}', documentation, value=value)
        versions = GaugeMetricFamily(
            'berylstair_record_version',
            'Record version in force, by record key.',
            labels=('key',),
        )
        for record in status.records:
            versions.add_metric((record.key,), record.version)
        yield versions


def render_metrics(read_status: Callable[[], Status]) -> bytes:
    """Renders the metrics in the Prometheus text format.

    Args:
        read_status: Returns the current status.

    Returns:
        The encoded text.
    """
    registry = CollectorRegistry()
    registry.register(_StatusCollector(read_status()))
    return generate_latest(registry)
