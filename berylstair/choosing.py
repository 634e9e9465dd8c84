"""Which backend server gets a new flow.

Load pattern: a crest at which nearly every slot is taken, with servers that
are slow, cold or dead among the others. The server is the one expected to
answer first, so a slow or far one is used only when nearer ones are full.
"""

from collections.abc import Sequence
from typing import NamedTuple

from berylstair.ids import BackendId, ZoneId
from berylstair.record import BackendServer
from berylstair.slots import ServerState

__all__ = [
    'PlacementConstraints',
    'ServerCandidate',
    'choose_server',
    'has_queue_room',
    'lease_limit',
]

# Flows that a server may have waiting beside those in its slots. A slot that
# falls free stays idle for a round trip through the caller otherwise, a tenth
# of a short request's work.
OVERCOMMIT_RATIO = 1 / 3
# Cost of a server in another zone, as a share of the work: about the price of
# the bytes, and more than the scatter of measured slowness.
CROSS_ZONE_COST_RATIO = 0.15
# Prefers emptier servers among equals.
UTILIZATION_COST_RATIO = 0.02
# Expected work of a server that has just started, over the usual.
COLD_SLOWNESS_RATIO = 1.6
# Longest queue that is given to a server when its answer will be late anyway.
MAX_QUEUED_PER_SLOT = 3
# Servers compared for one flow, so that the cost does not grow with a service;
# all are looked at only where none of these will do.
MAX_COMPARED_SERVERS = 32
# Spreads the first server compared over time.
_WINDOW_STARTS_PER_S = 1_000_003


class PlacementConstraints(NamedTuple):
    """What a new flow asks for.

    Attributes:
        zone: Zone of the instance that has the flow.
        kind: Route name, for the expected work.
        excluded: Servers that did not answer this flow's opening segment.
    """

    zone: ZoneId
    route_name: str
    excluded: tuple[BackendId, ...] = ()


class ServerCandidate(NamedTuple):
    """A server that accepts flows.

    Attributes:
        state: Its present work, as counted in the ledger.
        is_cold: Whether it is still slow after its start.
    """

    server: BackendServer
    state: ServerState
    is_cold: bool


def lease_limit(server: BackendServer) -> int:
    """Returns how many flows a server can start, or nearly start."""
    return server.slots + max(round(server.slots * OVERCOMMIT_RATIO), 1)


def has_queue_room(candidate: ServerCandidate) -> bool:
    """Tells whether a server's own queue can take one more flow."""
    return candidate.state.lease_count < candidate.server.slots * (1 + MAX_QUEUED_PER_SLOT)


def choose_server(
    candidates: Sequence[ServerCandidate],
    constraints: PlacementConstraints,
    now: float,
    requires_capacity: bool = False,
) -> ServerCandidate | None:
    """Chooses the server that is expected to answer first.

    Servers that the flow has tried, and those that were silent lately, are
    taken only where there is no other.

    Args:
        views: Servers to choose from.
        wish: What the flow asks for.
        now: Current time in seconds.
        needs_room: Whether servers without a free slot are left out.

    Returns:
        A server, None where there is none.
    """
    if len(candidates) > MAX_COMPARED_SERVERS:
        start = int(now * _WINDOW_STARTS_PER_S) % len(candidates)
        window = (*candidates[start:], *candidates[:start])[:MAX_COMPARED_SERVERS]
        chosen = choose_server(window, constraints, now, requires_capacity)
        if chosen is not None:
            return chosen
    below_limit = [
        candidate
        for candidate in candidates
        if candidate.state.lease_count < lease_limit(candidate.server)
    ]
    eligible = below_limit if requires_capacity else candidates
    untried = [
        candidate for candidate in eligible if candidate.server.id not in constraints.excluded
    ] or eligible
    healthy = [candidate for candidate in untried if not candidate.state.is_avoided(now)] or untried
    if not healthy:
        return None
    return min(
        healthy,
        key=lambda candidate: (_cost(candidate, constraints, now), candidate.state.last_leased_at),
    )


def _cost(candidate: ServerCandidate, constraints: PlacementConstraints, now: float) -> float:
    """Returns the expected answer time in units of the usual work."""
    server, state, is_cold = candidate
    lease_count = state.lease_count
    slowness = state.decayed_slowness(now)
    # A quick server gains nothing: it may fail what it answers.
    min_slowness = COLD_SLOWNESS_RATIO if is_cold else 1
    slowness = max(slowness, min_slowness)
    cost = slowness + UTILIZATION_COST_RATIO * lease_count / server.slots
    if lease_count >= server.slots:
        cost += slowness * (lease_count + 1 - server.slots) / server.slots
    if server.zone != constraints.zone:
        cost += CROSS_ZONE_COST_RATIO
    return cost
