"""A flow that needs a server, as its holder requests it from the dispatching instance."""

import math
from typing import NamedTuple

from berylstair.ids import FlowKey, InstanceId, ServiceName
from berylstair.server_selection import PlacementConstraints

__all__ = ['PlacementRequest', 'deadline_from']


class PlacementRequest(NamedTuple):
    """A new flow that needs a server.

    Attributes:
        holder: Instance that has the flow's opening segment.
        arrived_at: When the caller's first opening segment arrived.
        last_opening_at: When its latest opening segment arrived.
        latency_target_s: Latency objective.
        priority: 0 is the highest.
        deadline_s: Seconds after the first opening segment at which an answer is of no use.
    """

    flow: FlowKey
    service: ServiceName
    holder: InstanceId
    constraints: PlacementConstraints
    arrived_at: float
    last_opening_at: float
    latency_target_s: float
    priority: int
    deadline_s: float = math.inf

    @property
    def kind(self) -> str:
        """Kind of request, which has a work time of its own: the name of its route."""
        return self.constraints.route_name


def deadline_from(timeout_s: float) -> float:
    """Returns the deadline in seconds that a route's timeout stands for; 0 is no timeout."""
    return timeout_s if timeout_s > 0 else math.inf
