"""Flows that wait for a slot, and the order in which they get one.

Load pattern: demand above the capacity of all slots for some seconds. First in,
first out would make every answer late, and so would earliest deadline first: each
flow would get its slot when it is about to be late. Here, flows that can still
meet their latency target go first, by priority. While not all of these can meet
it, the newest goes first, so that only the others are late. Late flows follow,
the one with the latest opening segment first. One slot in a few goes to the flow
that has waited longest, so that its caller does not give up during an overload
that is soon over.
"""

from dataclasses import dataclass, field
from typing import NamedTuple

from berylstair.admission import expected_wait_s
from berylstair.ids import FlowKey, InstanceId, ServiceName
from berylstair.server_selection import PlacementConstraints

__all__ = ['PlacementRequest', 'WaitQueue']

# Wait in this queue after which a flow may get a slot before others, well before its caller
# gives up. A flow that was already late on arrival, after an outage, gets no such precedence.
OLDEST_FIRST_AFTER_S = 0.5
# One slot in this many goes to such a flow while others could still be in time.
OLDEST_FIRST_EVERY_N_SLOTS = 4


class PlacementRequest(NamedTuple):
    """A new flow that needs a server.

    Attributes:
        holder: Instance that has the flow's opening segment.
        arrived_at: When the caller's first opening segment arrived.
        last_opening_at: When its latest opening segment arrived.
        latency_target_s: Latency objective.
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
        """Adds a flow, or updates its request after another opening segment."""
        self.request_by_flow[request.flow] = request
        self._waiting_since_by_flow.setdefault(request.flow, now)

    def remove(self, flow: FlowKey) -> PlacementRequest | None:
        """Removes a flow and returns its request, None if it does not wait."""
        self._waiting_since_by_flow.pop(flow, None)
        return self.request_by_flow.pop(flow, None)

    def remove_placed(self, request: PlacementRequest) -> None:
        """Removes a flow that was placed, and counts the placement."""
        self._placed_count += 1
        self.remove(request.flow)

    def select_next(self, work_s: float, slots: int, now: float) -> PlacementRequest | None:
        """Returns the flow to be placed next, None if none waits.

        Args:
            work_s: Expected work time of a flow in seconds.
            slots: Slots of all servers that take new flows.
            now: Current time in seconds.
        """
        if not self.request_by_flow:
            return None
        # Dicts keep the order of insertion: the first flow has waited here longest.
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
        """Returns the flows whose callers began to wait more than ``age_s`` ago."""
        arrived_before = now - age_s
        return [
            request
            for request in self.request_by_flow.values()
            if request.arrived_at < arrived_before
        ]


def _is_overloaded(
    candidates: list[PlacementRequest], work_s: float, slots: int, now: float
) -> bool:
    """Returns whether some of the flows will be late in any order.

    Served in order of arrival, the newest would wait for all others.
    """
    wait_s = expected_wait_s(len(candidates), slots, work_s)
    newest = max(candidates, key=lambda request: request.arrived_at)
    return now + wait_s + work_s > newest.arrived_at + newest.latency_target_s
