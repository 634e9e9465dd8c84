"""Choice of the backend server for a new flow.

Load pattern: peak load at which nearly every slot is taken, with some servers
slow, cold or dead. The choice is the server expected to answer first, so a slow
or remote one is used only when nearer ones are full.
"""

from collections.abc import Sequence
from typing import NamedTuple

from berylstair.ids import BackendId, ZoneId
from berylstair.lease_table import ServerState
from berylstair.record import BackendServer

__all__ = [
    'PlacementConstraints',
    'ServerCandidate',
    'choose_server',
    'has_capacity',
    'has_queue_room',
    'lease_limit',
]

# Flows that may wait at a server, relative to its slots. Without them, a freed slot would
# stay idle for a round trip through the caller, a tenth of a short request's work time.
OVERCOMMIT_RATIO = 1 / 3
# Cost of a server in another zone, relative to the work time: about the price of the traffic
# between zones, and more than the random variation of the measured slowness.
CROSS_ZONE_COST_RATIO = 0.15
# The recent slowness of a server varies by this much around its speed; only more counts as a
# change.
SLOWNESS_NOISE = 0.5
# Expected work time of a server that fails part of its requests, relative to the usual one:
# others are preferred to it even when chance makes them look slower by a quarter.
FAILING_SLOWNESS_RATIO = 1.3
# Prefers the less loaded of otherwise equal servers.
UTILIZATION_COST_RATIO = 0.02
# Expected work time of a server that has just started, relative to the usual one.
COLD_SLOWNESS_RATIO = 1.6
# Longest queue per slot that a server is given when its answers will be late anyway.
MAX_QUEUED_PER_SLOT = 3
# Servers compared for one flow, so that the effort does not grow with the size of a service;
# all are compared only if none of these is suitable.
MAX_COMPARED_SERVERS = 32
# Moves the first server of the comparison through the list over time, to spread the flows.
_WINDOW_STARTS_PER_S = 1_000_003


class PlacementConstraints(NamedTuple):
    """What a new flow needs from its server.

    Attributes:
        zone: Zone of the instance that holds the flow.
        route_name: Route name, for the expected work time.
        excluded: Servers that did not answer this flow's opening segment.
    """

    zone: ZoneId
    route_name: str
    excluded: tuple[BackendId, ...] = ()


class ServerCandidate(NamedTuple):
    """A server that accepts flows.

    Attributes:
        state: Its load and health, as kept in the lease table.
        is_cold: Whether it is still slow after its start.
    """

    server: BackendServer
    state: ServerState
    is_cold: bool


def lease_limit(server: BackendServer) -> int:
    """Returns how many flows a server may hold: its slots and a few more that wait there."""
    return server.slots + max(round(server.slots * OVERCOMMIT_RATIO), 1)


def has_capacity(candidates: Sequence[ServerCandidate]) -> bool:
    """Returns whether any server is below its lease limit."""
    return any(
        candidate.state.lease_count < lease_limit(candidate.server) for candidate in candidates
    )


def has_queue_room(candidate: ServerCandidate) -> bool:
    """Returns whether a server's own queue can take one more flow."""
    return candidate.state.lease_count < candidate.server.slots * (1 + MAX_QUEUED_PER_SLOT)


def choose_server(
    candidates: Sequence[ServerCandidate],
    constraints: PlacementConstraints,
    now: float,
    requires_capacity: bool = False,
) -> ServerCandidate | None:
    """Chooses the server that is expected to answer first.

    Servers that the flow has tried, and those that are avoided as unresponsive
    or too quick, are chosen only if there is no other. A flow does not evade to an
    avoided server because the others are full: it would probably be offered in
    vain, while a slot becomes free sooner.

    Args:
        candidates: Servers to choose from.
        constraints: What the flow needs.
        now: Current time in seconds.
        requires_capacity: Whether servers at their lease limit are left out.

    Returns:
        The chosen server, None if there is none.
    """
    if len(candidates) > MAX_COMPARED_SERVERS:
        start = int(now * _WINDOW_STARTS_PER_S) % len(candidates)
        window = (*candidates[start:], *candidates[:start])[:MAX_COMPARED_SERVERS]
        chosen = choose_server(window, constraints, now, requires_capacity)
        if chosen is not None:
            return chosen
    untried = [
        candidate for candidate in candidates if candidate.server.id not in constraints.excluded
    ] or candidates
    healthy = [candidate for candidate in untried if not candidate.state.is_avoided(now)] or untried
    if requires_capacity:
        healthy = [
            candidate
            for candidate in healthy
            if candidate.state.lease_count < lease_limit(candidate.server)
        ]
    if not healthy:
        return None
    return min(
        healthy,
        key=lambda candidate: (_cost(candidate, constraints, now), candidate.state.last_leased_at),
    )


def _cost(candidate: ServerCandidate, constraints: PlacementConstraints, now: float) -> float:
    """Returns the expected time to the answer, relative to the usual work time."""
    server, state, _ = candidate
    lease_count = state.lease_count
    slowness = _expected_slowness(candidate, server.zone == constraints.zone, now)
    cost = slowness + UTILIZATION_COST_RATIO * lease_count / server.slots
    if lease_count >= server.slots:
        cost += slowness * (lease_count + 1 - server.slots) / server.slots
    if server.zone != constraints.zone:
        cost += CROSS_ZONE_COST_RATIO
    return cost


def _expected_slowness(candidate: ServerCandidate, is_in_zone: bool, now: float) -> float:
    """Returns the expected work time on a server, relative to the usual one.

    A quick server gets no advantage unless the speeds of the servers are known to differ:
    it may be failing its requests. In another zone it gets none either, as flows do not
    leave their zone for speed.
    """
    _, state, is_cold = candidate
    slowness = state.decayed_slowness(now)
    expected = state.speed.expected_time(now)
    if state.speed.fails_requests:
        return max(slowness, expected, FAILING_SLOWNESS_RATIO)
    if expected != 1:
        slowness = max(expected, slowness - SLOWNESS_NOISE)
    is_advantaged = expected < 1 and is_in_zone
    least = COLD_SLOWNESS_RATIO if is_cold else 1
    return slowness if is_advantaged and not is_cold else max(slowness, least)
