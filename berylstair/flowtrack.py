"""What an instance remembers of the flows whose segments it sees.

A segment finds its way by its tag alone; this memory serves the choice of a
server, the reports of work in progress, and flows that two servers answered.
"""

from collections.abc import Iterator
from dataclasses import dataclass
from enum import Enum, unique

from berylstair.directory import Route
from berylstair.ids import BackendId, FlowKey, InstanceId, ServiceName
from berylstair.record import BackendServer
from berylstair.segment import SEQUENCE_SPACE, Segment

__all__ = ['FlowPhase', 'TrackedFlow', 'TrackedFlowTable']

# An ended flow is kept while copies of its last segments may arrive.
ENDED_FLOW_RETENTION_S = 3.0
_HALF_SEQUENCE_SPACE = SEQUENCE_SPACE // 2


@unique
class FlowPhase(Enum):
    """Where a flow stands.

    ASKED: the dispatching instance was asked. WAITING: it holds the flow
    until a slot is free. OFFERED: the opening segment went to a server. OPEN:
    the caller answered the server. OVER: refused, or its work has ended.
    """

    ASKED = 'asked'
    WAITING = 'waiting'
    OFFERED = 'offered'
    OPEN = 'open'
    OVER = 'over'


@dataclass(slots=True)
class TrackedFlow:
    """One flow.

    Attributes:
        opening: Opening segment, None where another instance had it.
        arrived_at: When the caller's first opening segment arrived.
        dispatcher: Instance that counts the flow's lease.
        copies: Copies of the opening segment that the caller has sent.
        is_pinned: Whether a segment after the opening told its server.
        excluded: Servers that left an opening segment unanswered.
        is_reset: Whether the caller was sent a reset, which may be lost.
        acknowledged: What the caller had acknowledged when first heard.
    """

    key: FlowKey
    route: Route | None
    service: ServiceName
    opening_segment: Segment | None
    arrived_at: float
    last_segment_at: float
    dispatcher: InstanceId
    phase: FlowPhase = FlowPhase.ASKED
    server: BackendServer | None = None
    tag: int = 0
    is_server_confirmed: bool = False
    placement_requested_at: float = 0.0
    offered_at: float = 0.0
    offers: int = 0
    has_waited: bool = False
    copies: int = 0
    excluded: tuple[BackendId, ...] = ()
    initial_acknowledged: int = 0
    has_sent_reset: bool = False

    @property
    def route_name(self) -> str:
        """Name of the route, which tells the kind of work."""
        return self.route.name if self.route else ''

    def is_answered_by(self, segment: Segment) -> bool:
        """Tells whether a segment shows that the answer has begun to arrive."""
        acknowledged_bytes = (segment.acknowledged - self.initial_acknowledged) % SEQUENCE_SPACE
        return segment.is_closing or 0 < acknowledged_bytes < _HALF_SEQUENCE_SPACE


class TrackedFlowTable:
    """Flows by their key."""

    def __init__(self) -> None:
        """Starts empty."""
        self._flow_by_key: dict[FlowKey, TrackedFlow] = {}

    def __len__(self) -> int:
        """Returns the number of flows remembered."""
        return len(self._flow_by_key)

    def __iter__(self) -> Iterator[TrackedFlow]:
        """Goes over all flows."""
        return iter(tuple(self._flow_by_key.values()))

    def get(self, key: FlowKey) -> TrackedFlow | None:
        """Returns a flow."""
        return self._flow_by_key.get(key)

    def add(self, flow: TrackedFlow) -> TrackedFlow:
        """Adds a flow in place of an older one with the same key."""
        self._flow_by_key[flow.key] = flow
        return flow

    def prune_expired(self, now: float, idle_s: float) -> None:
        """Drops flows that have ended or fallen silent.

        Args:
            now: Current time in seconds.
            idle_s: Time without a segment after which a flow has ended.
        """
        self._flow_by_key = {
            key: flow
            for key, flow in self._flow_by_key.items()
            if now - flow.last_segment_at < _retention_s(flow, idle_s)
        }


def _retention_s(flow: TrackedFlow, idle_s: float) -> float:
    return ENDED_FLOW_RETENTION_S if flow.phase is FlowPhase.OVER else idle_s
