"""Flows that wait for a slot, who of them gets the next one, and who cannot be served.

Load pattern: demand above the capacity of all slots for some seconds, of one kind of
request or of all. First in, first out would make every answer late, and so would
earliest deadline first: each flow would get its slot when it is about to be late. The
order is that of ``service_order``, except that one slot in a few goes to a flow that
has waited long, of each kind in turn, so that every kind makes progress and a caller
does not give up during an overload that is soon over.
"""

import math
from collections import deque
from dataclasses import dataclass, field

from berylstair.admission import should_refuse
from berylstair.ids import FlowKey
from berylstair.placement_request import PlacementRequest
from berylstair.service_order import WorkTimes, order_requests

__all__ = ['PlacementRequest', 'WaitQueue']

# Wait in this queue after which a flow may get a slot before others, well before its caller
# gives up. A flow that was already late on arrival, after an outage, gets no such precedence.
OLDEST_FIRST_AFTER_S = 0.5
# One slot in this many goes to such a flow while others could still be in time.
OLDEST_FIRST_EVERY_N_SLOTS = 4


@dataclass(slots=True)
class WaitQueue:
    """Waiting flows of one service."""

    request_by_flow: dict[FlowKey, PlacementRequest] = field(default_factory=dict)
    _waiting_since_by_flow: dict[FlowKey, float] = field(default_factory=dict)
    _placed_count: int = 0
    _served_s_by_kind: dict[str, float] = field(default_factory=dict)
    _last_turn_by_kind: dict[str, int] = field(default_factory=dict)
    _ordered: deque[PlacementRequest] = field(default_factory=deque)
    _ordered_at: float = -math.inf

    def __len__(self) -> int:
        """Returns the number of waiting flows."""
        return len(self.request_by_flow)

    def add(self, request: PlacementRequest, now: float) -> None:
        """Adds a flow, or updates its request after another opening segment."""
        self.request_by_flow[request.flow] = request
        self._waiting_since_by_flow.setdefault(request.flow, now)
        self._ordered_at = -math.inf

    def remove(self, flow: FlowKey) -> PlacementRequest | None:
        """Removes a flow and returns its request, None if it does not wait."""
        self._waiting_since_by_flow.pop(flow, None)
        request = self.request_by_flow.pop(flow, None)
        if not self.request_by_flow:
            # The shares count during an overload only.
            self._served_s_by_kind.clear()
            self._last_turn_by_kind.clear()
        return request

    def remove_placed(self, request: PlacementRequest, work_s: float = 0) -> None:
        """Removes a flow that was placed, and counts the placement.

        Args:
            request: The flow's request.
            work_s: Expected work time of the flow in seconds.
        """
        self._placed_count += 1
        served_s = self._served_s_by_kind
        served_s[request.kind] = served_s.get(request.kind, min(served_s.values(), default=0))
        served_s[request.kind] += work_s
        self.remove(request.flow)

    def select_next(self, work_s_of: WorkTimes, slots: int, now: float) -> PlacementRequest | None:
        """Returns the flow to be placed next, None if none waits.

        Args:
            work_s_of: Expected work time in seconds of each kind.
            slots: Slots of all servers that take new flows.
            now: Current time in seconds.
        """
        if not self.request_by_flow:
            return None
        if (self._placed_count + 1) % OLDEST_FIRST_EVERY_N_SLOTS == 0:
            longest_waiting = self._select_longest_waiting(now)
            if longest_waiting is not None:
                return longest_waiting
        if self._ordered_at != now:
            self._ordered = deque(self._order(work_s_of, slots, now))
            self._ordered_at = now
        while self._ordered[0].flow not in self.request_by_flow:
            self._ordered.popleft()
        return self._ordered[0]

    def find_hopeless(self, work_s_of: WorkTimes, now: float) -> list[PlacementRequest]:
        """Returns the flows that cannot be offered, or not be answered, in time any more.

        Args:
            work_s_of: Expected work time in seconds of each kind.
            now: Current time in seconds.
        """
        return [
            request
            for request in self.request_by_flow.values()
            if should_refuse(
                0, work_s_of(request.kind), now - request.arrived_at, request.deadline_s
            )
        ]

    def _order(self, work_s_of: WorkTimes, slots: int, now: float) -> list[PlacementRequest]:
        least_s = min(self._served_s_by_kind.values(), default=0)
        served_s_by_kind = {
            kind: served_s - least_s for kind, served_s in self._served_s_by_kind.items()
        }
        return order_requests(
            self.request_by_flow.values(), work_s_of, slots, served_s_by_kind, now
        )

    def _select_longest_waiting(self, now: float) -> PlacementRequest | None:
        """Returns the flow that has waited longest of the kind whose turn it is, if any."""
        oldest_by_kind: dict[str, PlacementRequest] = {}
        # Dicts keep the order of insertion: the first flow has waited here longest.
        for flow, waiting_since in self._waiting_since_by_flow.items():
            if now - waiting_since <= OLDEST_FIRST_AFTER_S:
                break
            request = self.request_by_flow[flow]
            oldest_by_kind.setdefault(request.kind, request)
        if not oldest_by_kind:
            return None
        kind = min(oldest_by_kind, key=lambda name: self._last_turn_by_kind.get(name, -1))
        self._last_turn_by_kind[kind] = self._placed_count
        return oldest_by_kind[kind]
