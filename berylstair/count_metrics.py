"""Prometheus metric families of the counters, shared by both kinds of instance."""

from collections.abc import Iterable, Mapping

from prometheus_client.core import CounterMetricFamily, Metric

from berylstair.counter import RetryReason, Traffic
from berylstair.errors import ErrorKind

__all__ = ['count_families']


def count_families(
    refusals: Mapping[str, int], retries: Mapping[str, int], traffic: Mapping[str, int]
) -> Iterable[Metric]:
    """Yields the counter families; each known label value is present from the start.

    Args:
        refusals: Counts by the value of an ``ErrorKind``.
        retries: Counts by the value of a ``RetryReason``.
        traffic: Counts by the value of a ``Traffic``.
    """
    for name, text, label, kinds, counts in (
        ('refusals', 'Refusals and other errors by reason.', 'reason', ErrorKind, refusals),
        ('retries', 'Retries and hedges by reason.', 'reason', RetryReason, retries),
        (
            'traffic',
            'Datagrams, messages, flows and other events by kind.',
            'kind',
            Traffic,
            traffic,
        ),
    ):
        family = CounterMetricFamily(f'berylstair_{name}', text, labels=(label,))
        for kind in kinds:
            family.add_metric((kind.value,), counts.get(kind.value, 0))
        yield family
