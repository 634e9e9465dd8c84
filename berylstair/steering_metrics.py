"""Prometheus metrics of a steering instance."""

import math
from collections.abc import Iterable, Mapping
from typing import Any

from prometheus_client import CollectorRegistry
from prometheus_client.core import GaugeMetricFamily, HistogramMetricFamily, Metric
from prometheus_client.exposition import generate_latest
from prometheus_client.registry import Collector

from berylstair.count_metrics import count_families
from berylstair.steering import SteeringInstance

__all__ = ['render_steering_metrics']


class _SteeringCollector(Collector):
    """Converts the counters and gauges of the core into metric families."""

    def __init__(self, steering: SteeringInstance, now: float) -> None:
        self._steering = steering
        self._now = now

    def collect(self) -> Iterable[Metric]:
        """Yields every family; each known label value is present from the start."""
        counters = self._steering.core.counters
        yield from count_families(
            _counts_by_value(counters.refusals),
            _counts_by_value(counters.retries),
            _counts_by_value(counters.traffic),
        )
        yield from self._gauges()
        yield from self._histograms()

    def _histograms(self) -> Iterable[Metric]:
        latencies = self._steering.core.latencies
        for name, histogram in (
            ('decision', latencies.decision),
            ('handshake', latencies.handshake),
            ('work', latencies.work),
        ):
            yield HistogramMetricFamily(
                f'berylstair_{name}_seconds',
                histogram.text,
                buckets=histogram.cumulative_counts(),
                sum_value=histogram.sum_s,
            )

    def _gauges(self) -> Iterable[Metric]:
        core = self._steering.core
        confirmation_age_s = core.fleet.membership.confirmation_age_s(self._now)
        values = (
            (
                'directory_confirmation_age_seconds',
                'Time since the source last confirmed the directory; NaN before the first time.',
                math.nan if confirmation_age_s is None else confirmation_age_s,
            ),
            ('tracked_flows', 'Flows tracked.', len(core.flows)),
            (
                'waiting_flows',
                'Flows waiting for a slot at this dispatching instance.',
                core.assigner.waiting_count,
            ),
            (
                'servers_set_aside',
                'Servers set aside here because they open flows and answer no request.',
                core.assigner.set_aside_count,
            ),
            (
                'servers_failing',
                'Servers whose work times show here that they fail requests at once.',
                core.assigner.failing_count,
            ),
            ('leases', 'Leases counted by this dispatching instance.', core.assigner.lease_count),
            ('evacuated_zones', 'Evacuated zones.', len(core.directory.evacuations)),
            (
                'evacuated_leases',
                'Leases counted by this dispatching instance on servers of evacuated zones.',
                core.assigner.evacuated_lease_count,
            ),
            (
                'cold_servers',
                'Cold servers of the services that state their cold start.',
                core.cold_servers.count(self._now),
            ),
            (
                'cold_mandates',
                'Services for which this instance may offer flows to cold servers.',
                core.cold_mandates.held_count(self._now),
            ),
            (
                'peers_reachable',
                'Other instances that are reachable.',
                len(core.fleet.membership.reachable),
            ),
            (
                'directory_revision',
                'Directory revision in force.',
                core.directory.position.revision,
            ),
            (
                'source_era',
                'Era of the source in the directory; rises when the source is restored.',
                core.directory.position.era,
            ),
            (
                'is_ready',
                '1 while the fabric may send packets here, else 0.',
                float(self._steering.is_ready),
            ),
        )
        for name, text, value in values:
            yield GaugeMetricFamily(f'berylstair_{name}', text, value=float(value))


def _counts_by_value(counts: Mapping[Any, int]) -> dict[str, int]:
    return {kind.value: count for kind, count in counts.items()}


def render_steering_metrics(steering: SteeringInstance, now: float) -> str:
    """Renders the metrics at a time in seconds in the Prometheus text format."""
    registry = CollectorRegistry()
    registry.register(_SteeringCollector(steering, now))
    return generate_latest(registry).decode()
