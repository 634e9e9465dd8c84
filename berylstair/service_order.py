"""The order in which waiting flows get a slot, apart from the share of the longest waiting.

Load pattern: a burst of one kind of request beside others, or of all kinds, beyond the
capacity of all slots. Flows that can still meet their latency target go first, by
priority. While all of one priority can, the oldest goes first. While not all can, the
kinds of that priority share the slots equally by work, so that a kind that asks for
less than its share is not late because of a burst of another; within a kind that cannot
all be in time, the newest goes first, so that only the others are late. Late flows
follow, the one with the latest opening segment first, as its caller waits longest
before it gives up.
"""

from collections import defaultdict
from collections.abc import Callable, Iterable, Mapping
from itertools import groupby

from berylstair.admission import expected_wait_s
from berylstair.placement_request import PlacementRequest

__all__ = ['WorkTimes', 'order_requests', 'work_ahead_s']

# Returns the mean work time in seconds of a kind of request, by the name of its route.
WorkTimes = Callable[[str], float]


def order_requests(
    requests: Iterable[PlacementRequest],
    work_s_of: WorkTimes,
    slots: int,
    served_s_by_kind: Mapping[str, float],
    now: float,
) -> list[PlacementRequest]:
    """Returns the requests in the order in which they get a slot if no others come.

    Args:
        requests: Waiting flows.
        work_s_of: Mean work time of each kind.
        slots: Slots of all servers that take new flows.
        served_s_by_kind: Work that each kind was given during the overload, in seconds.
        now: Current time in seconds.
    """
    in_time: list[PlacementRequest] = []
    late: list[PlacementRequest] = []
    for request in requests:
        (in_time if _is_in_time(request, work_s_of, now) else late).append(request)
    in_time.sort(key=lambda request: (request.priority, request.arrived_at))
    ordered: list[PlacementRequest] = []
    for _, group in groupby(in_time, key=lambda request: request.priority):
        ordered.extend(_order_priority(list(group), work_s_of, slots, served_s_by_kind, now))
    late.sort(key=lambda request: request.last_opening_at, reverse=True)
    return [*ordered, *late]


def work_ahead_s(
    request: PlacementRequest, waiting: Iterable[PlacementRequest], work_s_of: WorkTimes
) -> float:
    """Returns the work in seconds of the waiting flows that a new one is counted behind.

    These are the flows of better priorities and, of its own, all of its kind and as much
    work of each other kind, as kinds share the slots. That the newest goes first is not
    counted in its favour, since an older one would be refused in its place.
    """
    work_s_by_kind: defaultdict[str, float] = defaultdict(float)
    ahead_s = 0.0
    for other in waiting:
        if other.priority == request.priority:
            work_s_by_kind[other.kind] += work_s_of(other.kind)
        elif other.priority < request.priority:
            ahead_s += work_s_of(other.kind)
    own_s = work_s_by_kind[request.kind] + work_s_of(request.kind)
    return ahead_s + sum(min(work_s, own_s) for work_s in work_s_by_kind.values())


def _is_in_time(request: PlacementRequest, work_s_of: WorkTimes, now: float) -> bool:
    return now + work_s_of(request.kind) <= request.arrived_at + request.latency_target_s


def _order_priority(
    oldest_first: list[PlacementRequest],
    work_s_of: WorkTimes,
    slots: int,
    served_s_by_kind: Mapping[str, float],
    now: float,
) -> list[PlacementRequest]:
    """Orders the flows of one priority that can be in time."""
    if not _is_any_late(oldest_first, work_s_of, slots, now):
        return oldest_first
    by_kind: defaultdict[str, list[PlacementRequest]] = defaultdict(list)
    for request in oldest_first:
        by_kind[request.kind].append(request)
    ranked: list[tuple[float, PlacementRequest]] = []
    for kind, of_kind in by_kind.items():
        work_s = work_s_of(kind)
        share = slots / len(by_kind)
        if _is_any_late(of_kind, work_s_of, share, now):
            of_kind.reverse()
        start_s = served_s_by_kind.get(kind, 0)
        ranked.extend((start_s + work_s * index, request) for index, request in enumerate(of_kind))
    ranked.sort(key=lambda pair: pair[0])
    return [request for _, request in ranked]


def _is_any_late(
    oldest_first: list[PlacementRequest], work_s_of: WorkTimes, slots: float, now: float
) -> bool:
    """Returns whether some of the flows are late if the oldest goes first.

    The newest then waits for all of them, itself included.
    """
    newest = oldest_first[-1]
    work_s = sum(work_s_of(request.kind) for request in oldest_first)
    end_at = now + expected_wait_s(work_s, slots) + work_s_of(newest.kind)
    return end_at > newest.arrived_at + newest.latency_target_s
