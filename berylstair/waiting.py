"""Flows that wait for a slot, and the order in which they get one.

Load pattern: demand above what all slots together can work off, for some
seconds. First in, first out would make every answer late, as would earliest
deadline first: each flow gets its slot when it is about to be late. Here those
that can still be in time go first, by priority; while not all of them can, the
newest, so that the others alone are late. The late ones follow; one slot in a few
goes to the flow that has waited longest, lest its caller gives up for a crest
that is soon over.
"""

from dataclasses import dataclass, field
from typing import NamedTuple

from berylstair.choosing import PlacementConstraints
from berylstair.ids import FlowKey, InstanceId, ServiceName
from berylstair.refusing import expected_wait_s

__all__ = ['PlacementRequest', 'WaitQueue']

# Wait here after which a flow may get its slot before others, well before its
# caller gives up. One that came late already, after an outage, has no such claim.
OLDEST_FIRST_AFTER_S = 0.5
# One slot in so many goes to such a flow while others could be in time.
OLDEST_FIRST_EVERY_N_SLOTS = 4


class PlacementRequest(NamedTuple):
    """A new flow that needs a server.

    Attributes:
        holder: Instance that has the flow's opening segment.
        arrived_at: When the caller's first opening segment arrived.
        heard_at: When its latest opening segment arrived.
        target_s: Latency objective.
        priority: 0 is the highest.
    """

    flow: FlowKey
    service: ServiceName
    holder: InstanceId
    constraints: PlacementConstraints
    arrived_at: float
    last_opening_at: float
    latency_target_s: float
    priority: int


@dataclass(slots=True)
class WaitQueue:
    """Waiting flows of one service."""

    request_by_flow: dict[FlowKey, PlacementRequest] = field(default_factory=dict)
    _waiting_since_by_flow: dict[FlowKey, float] = field(default_factory=dict)
    _placed_count: int = 0

    def __len__(self) -> int:
        """Returns the number of waiting flows."""
        return len(self.request_by_flow)

    def add(self, request: PlacementRequest, now: float) -> None:
        """Adds a flow, or notes that its caller was heard again."""
        self.request_by_flow[request.flow] = request
        self._waiting_since_by_flow.setdefault(request.flow, now)

    def remove(self, flow: FlowKey) -> PlacementRequest | None:
        """Removes a flow and returns its ask."""
        self._waiting_since_by_flow.pop(flow, None)
        return self.request_by_flow.pop(flow, None)

    def remove_placed(self, request: PlacementRequest) -> None:
        """Removes a flow that has got a slot."""
        self._placed_count += 1
        self.remove(request.flow)

    def select_next(self, work_s: float, slots: int, now: float) -> PlacementRequest | None:
        """Returns the flow that is to be served first.

        Args:
            work_s: Expected work of a flow.
            slots: Slots of all servers that take new flows.
            now: Current time in seconds.
        """
        if not self.request_by_flow:
            return None
        # Flows are added in the order of their waits here.
        oldest_flow, waiting_since = next(iter(self._waiting_since_by_flow.items()))
        if (
            now - waiting_since > OLDEST_FIRST_AFTER_S
            and (self._placed_count + 1) % OLDEST_FIRST_EVERY_N_SLOTS == 0
        ):
            return self.request_by_flow[oldest_flow]
        in_time = [
            request
            for request in self.request_by_flow.values()
            if now + work_s <= request.arrived_at + request.latency_target_s
        ]
        if not in_time:
            return max(self.request_by_flow.values(), key=lambda request: request.last_opening_at)
        top_priority = min(request.priority for request in in_time)
        candidates = [request for request in in_time if request.priority == top_priority]
        if _is_overloaded(candidates, work_s, slots, now):
            return max(candidates, key=lambda request: request.arrived_at)
        return min(candidates, key=lambda request: request.arrived_at)

    def find_older_than(self, age_s: float, now: float) -> list[PlacementRequest]:
        """Returns the flows that have waited longer than a limit."""
        arrived_before = now - age_s
        return [
            request
            for request in self.request_by_flow.values()
            if request.arrived_at < arrived_before
        ]


def _is_overloaded(
    candidates: list[PlacementRequest], work_s: float, slots: int, now: float
) -> bool:
    """Tells whether some of the flows will be late, whatever the order.

    The newest would wait for all others.
    """
    wait_s = expected_wait_s(len(candidates), slots, work_s)
    newest = max(candidates, key=lambda ask: ask.arrived_at)
    return now + wait_s + work_s > newest.arrived_at + newest.latency_target_s
