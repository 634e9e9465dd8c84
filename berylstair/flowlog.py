"""Fields by which log lines identify a flow."""

from berylstair.flowtrack import TrackedFlow
from berylstair.ids import FlowKey

__all__ = ['describe_flow', 'flow_id']

_MS_PER_S = 1000


def flow_id(key: FlowKey, sequence: int) -> str:
    """Returns the id of a flow: addresses, ports and first sequence number."""
    return f'{key.hex()}-{sequence:08x}'


def describe_flow(flow: TrackedFlow, now: float) -> str:
    """Returns the fields at the start of every log line about a flow."""
    sequence = flow.opening_segment.sequence if flow.opening_segment else 0
    age_ms = round((now - flow.arrived_at) * _MS_PER_S)
    return f'flow={flow_id(flow.key, sequence)} route={flow.route_name} age_ms={age_ms}'
