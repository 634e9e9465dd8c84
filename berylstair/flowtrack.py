"""State of the flows whose segments pass through an instance.

A segment after the opening one can be routed by its tag alone. The state kept
here serves the choice of a server, the reports of work in progress, and flows
that two servers answered.
"""

import math
from collections.abc import Iterator
from dataclasses import dataclass
from enum import Enum, unique
from typing import NamedTuple

from berylstair.directory import Route
from berylstair.ids import BackendId, Endpoint, FlowKey, InstanceId, ServiceName
from berylstair.record import BackendServer
from berylstair.segment import SEQUENCE_SPACE, Segment, service_address

__all__ = ['ColdOffer', 'FlowPhase', 'TrackedFlow', 'TrackedFlowTable']

# Ended flows are kept while retransmissions of their last segments may arrive.
ENDED_FLOW_RETENTION_S = 3.0
_HALF_SEQUENCE_SPACE = SEQUENCE_SPACE // 2


@unique
class FlowPhase(Enum):
    """Phase of a flow.

    ASKED: a placement was requested from the dispatching instance. WAITING:
    the dispatching instance queues the flow until a slot is free. OFFERED: the
    opening segment was sent to a server. OPEN: the caller answered the
    server. OVER: the flow was refused, or its work has ended.
    """

    ASKED = 'asked'
    WAITING = 'waiting'
    OFFERED = 'offered'
    OPEN = 'open'
    OVER = 'over'


class ColdOffer(NamedTuple):
    """An offer of a flow to a cold server."""

    backend: BackendId
    offered_at: float


@dataclass(slots=True)
class TrackedFlow:
    """State of one flow.

    Attributes:
        opening_segment: Opening segment, None if another instance received it.
        arrived_at: When the caller's first opening segment arrived.
        dispatcher: Dispatching instance, which counts the flow's lease.
        is_server_confirmed: Whether the tag of a segment after the opening one
            has confirmed the server.
        offer_count: Number of offers of the flow; starts at zero again when
            another server is requested after ``MAX_OFFERS``.
        retransmission_count: Number of retransmissions of the opening segment
            by the caller.
        excluded: Servers that did not answer an opening segment.
        offered: Servers that the flow was offered to.
        superseded_at: When the caller sends its next opening segment or gives up.
        is_known_elsewhere: Whether another instance may have offered the flow too.
        copies_left: Copies of the opening segment that still correct the tags of
            servers that were offered the flow in vain.
        cold_offers: Offers of the flow to cold servers.
        has_sent_reset: Whether a reset was sent to the caller; it may be lost.
        initial_acknowledged: Acknowledgement number of the segment that
            confirmed the server.
        request_sent_at: When the first request was forwarded, None before that.
        has_stalled: Whether that request was reported as stalled.
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
    offer_count: int = 0
    has_waited: bool = False
    retransmission_count: int = 0
    excluded: tuple[BackendId, ...] = ()
    offered: tuple[BackendServer, ...] = ()
    superseded_at: float = math.inf
    is_known_elsewhere: bool = False
    copies_left: int = 0
    initial_acknowledged: int = 0
    has_sent_reset: bool = False
    request_sent_at: float | None = None
    has_stalled: bool = False
    cold_offers: tuple[ColdOffer, ...] = ()

    @property
    def address(self) -> Endpoint:
        """Service address and port that the caller uses."""
        return service_address(self.key)

    @property
    def route_name(self) -> str:
        """Name of the route, which stands for the kind of work; empty if unknown."""
        return self.route.name if self.route else ''

    @property
    def servers_offered_in_vain(self) -> list[BackendServer]:
        """Servers that the flow was offered to and that do not hold it; empty if not known.

        Without those that were cold, which may not get any number of opening segments.
        """
        if not self.is_server_confirmed or self.server is None:
            return []
        left_out = {self.server.id, *(offer.backend for offer in self.cold_offers)}
        return [server for server in self.offered if server.id not in left_out]

    @property
    def may_be_offered_elsewhere(self) -> bool:
        """Whether another instance may have offered the flow as well, as far as is known here."""
        is_offered_here = self.server is not None and any(
            server.id == self.server.id for server in self.offered
        )
        return self.is_known_elsewhere or not is_offered_here

    def is_answered_by(self, segment: Segment) -> bool:
        """Returns whether a segment shows that the caller has received part of the response.

        A caller closes a flow after its answer, unless the request had stalled.
        """
        acknowledged_bytes = (segment.acknowledged - self.initial_acknowledged) % SEQUENCE_SPACE
        if 0 < acknowledged_bytes < _HALF_SEQUENCE_SPACE:
            return True
        return segment.is_closing and not self.has_stalled


class TrackedFlowTable:
    """Tracked flows by flow key."""

    def __init__(self) -> None:
        """Sets up a table without flows."""
        self._flow_by_key: dict[FlowKey, TrackedFlow] = {}

    def __len__(self) -> int:
        """Returns the number of tracked flows."""
        return len(self._flow_by_key)

    def __iter__(self) -> Iterator[TrackedFlow]:
        """Iterates over a copy of the table, so that flows may be added meanwhile."""
        return iter(tuple(self._flow_by_key.values()))

    def get(self, key: FlowKey) -> TrackedFlow | None:
        """Returns the flow of a key, None if it is not tracked."""
        return self._flow_by_key.get(key)

    def add(self, flow: TrackedFlow) -> TrackedFlow:
        """Adds a flow, replacing any older one with the same key, and returns it."""
        self._flow_by_key[flow.key] = flow
        return flow

    def prune_expired(self, now: float, idle_s: float) -> None:
        """Removes flows without a segment for their retention time.

        Args:
            now: Current time in seconds.
            idle_s: Retention time in seconds of a flow that has not ended.
        """
        self._flow_by_key = {
            key: flow
            for key, flow in self._flow_by_key.items()
            if now - flow.last_segment_at < _retention_s(flow, idle_s)
        }


def _retention_s(flow: TrackedFlow, idle_s: float) -> float:
    """Returns how long a flow is kept.

    A flow that was offered to several servers is kept longer: its caller has the tag of
    one that does not hold it if all copies that were to correct the tag were lost. So is
    one that was offered and may be open elsewhere, until its server is known.
    """
    offers_in_order = 1 if flow.is_server_confirmed else 0
    is_tag_enough = flow.phase is FlowPhase.OVER and len(flow.offered) <= offers_in_order
    return ENDED_FLOW_RETENTION_S if is_tag_enough else idle_s
