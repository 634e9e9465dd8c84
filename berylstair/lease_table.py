"""Work in progress on the backend servers of one service.

Counts are soft state: each lease names the instance that holds its flow, expires
on its own, and is replaced by the holder's next report.
"""

import heapq
import math
from collections.abc import Iterable
from dataclasses import dataclass, field
from enum import IntEnum, unique
from typing import NamedTuple

from berylstair.durations import Durations
from berylstair.ids import BackendId, FlowKey, InstanceId
from berylstair.request_progress import RequestProgress, StalledRequest, min_stall_s
from berylstair.server_speed import ServerSpeed, compare_speeds
from berylstair.tag import tag_of

__all__ = [
    'MAX_LEASE_S',
    'RELEASED_RETENTION_S',
    'Lease',
    'LeaseTable',
    'Outcome',
    'ServerState',
]

# Mean work time assumed until enough flows have ended: half the latency target of a
# usual short request.
DEFAULT_WORK_S = 0.05
_HALF = 0.5
# Key for the work times of all routes together.
ALL_ROUTES = ''
# Key for the times of all flows that began in a server's queue; no route has this name.
QUEUED_FLOWS = '\0queued'
# Weight of the newest flow in the moving average of a server's slowness.
SLOWNESS_EWMA_WEIGHT = 0.15
# Caps a single sample: a straggler, seven times the mean, must not mark its server as slow.
MAX_SLOWNESS_RATIO = 3.0
# Ratio of a server's work time to the service's mean below which it seems to fail requests
# without doing any work; the mean of a working server varies by a quarter.
FAST_FAILURE_RATIO = 0.4
# Half-life of a server's slowness, which decays because the server may recover unobserved.
SLOWNESS_HALF_LIFE_S = 4.0
# Consecutive unanswered offers after which a server is avoided; one may be a lost packet.
AVOID_AFTER_UNANSWERED_OFFERS = 2
# First period for which an unresponsive server is avoided; doubles with each further
# unanswered offer.
INITIAL_AVOIDANCE_S = 0.25
MAX_AVOIDANCE_S = 1.0
# A released flow is remembered for this long, longer than any lease lasts, so that it is not
# counted again if its holder still reports it.
RELEASED_RETENTION_S = 8.0
# A lease whose end is not reported lasts this many times the mean work time, which covers
# stragglers, within the bounds below. If leases are too short, a flow too many is sent to a
# server and waits in its queue; if they are too long, free slots stay unused.
LEASE_TO_WORK_RATIO = 12
MIN_LEASE_S = 0.5
MAX_LEASE_S = 1.2
# A lease younger than this may be missing from a report that was sent before its holder
# learnt of it.
REPORT_LAG_S = 0.3


@unique
class Outcome(IntEnum):
    """How a flow's work ended.

    DONE: the caller has received the answer, or a part of it. ENDED: the flow
    ended otherwise. SILENT: the server did not answer the opening segment.
    """

    DONE = 1
    ENDED = 2
    SILENT = 3


@dataclass(slots=True)
class Lease:
    """One flow's occupation of a server's slot.

    Attributes:
        route_name: Name of the flow's route; work times are averaged per route.
        holder: Instance that opened the flow.
        former_holders: Instances that requested a placement of the flow earlier, and
            may have offered it to a server.
        is_queued: Whether the flow started in the server's queue, so that
            its duration does not measure the work time.
    """

    flow: FlowKey
    backend: BackendId
    route_name: str
    holder: InstanceId
    started_at: float
    expires_at: float = math.inf
    is_queued: bool = False
    former_holders: tuple[InstanceId, ...] = ()

    def all_holders(self) -> set[InstanceId]:
        """Returns the instances that may have offered the flow to a server."""
        return {self.holder, *self.former_holders}


class _ReleasedFlow(NamedTuple):
    """A flow whose lease was released.

    Attributes:
        tag: Tag of the server at which it is open, 0 if not known.
        holders: Instances that may have offered it to a server.
    """

    released_at: float
    tag: int
    holders: set[InstanceId]


@dataclass(slots=True)
class ServerState:
    """Load and health of one server.

    Attributes:
        slowness: Ratio of its work time to the mean, as of ``slowness_updated_at``.
        progress: Whether it answers requests.
        speed: Its speed beside that of the other servers.
    """

    lease_count: int = 0
    slowness: float = 1.0
    slowness_updated_at: float = 0.0
    unanswered_offers: int = 0
    avoided_until: float = 0.0
    last_leased_at: float = 0.0
    last_answered_at: float = -math.inf
    progress: RequestProgress = field(default_factory=RequestProgress)
    speed: ServerSpeed = field(default_factory=ServerSpeed)

    def decayed_slowness(self, now: float) -> float:
        """Returns the ratio of the server's work time to the service's mean, decayed towards 1."""
        if self.slowness == 1:
            return 1.0
        half_lives = (now - self.slowness_updated_at) / SLOWNESS_HALF_LIFE_S
        return 1 + (self.slowness - 1) * _HALF**half_lives

    def is_avoided(self, now: float) -> bool:
        """Returns whether the server is avoided: unresponsive, too quick, or without answers.

        One flow per period is still sent to it as a trial.
        """
        is_unresponsive = now < self.avoided_until and self.is_suspect(now)
        return is_unresponsive or self.progress.is_set_aside(now)

    def is_suspect(self, now: float) -> bool:
        """Returns whether the server is unresponsive, or too quick to do any work.

        A server that fails its requests at once would attract all of them.
        """
        return (
            self.unanswered_offers >= AVOID_AFTER_UNANSWERED_OFFERS
            or self.decayed_slowness(now) < FAST_FAILURE_RATIO
        )


@dataclass(slots=True)
class LeaseTable:
    """Leases on the servers of one service."""

    lease_by_flow: dict[FlowKey, Lease] = field(default_factory=dict)
    _state_by_backend: dict[BackendId, ServerState] = field(default_factory=dict)
    _backend_by_tag: dict[int, BackendId] = field(default_factory=dict)
    _durations_by_route: dict[str, Durations] = field(default_factory=dict)
    _released_by_flow: dict[FlowKey, _ReleasedFlow] = field(default_factory=dict)
    _held_slots: list[tuple[float, BackendId]] = field(default_factory=list)

    def lease_count(self, backend: BackendId) -> int:
        """Returns the number of leases on a server."""
        return self.server_state(backend).lease_count

    def server_state(self, backend: BackendId) -> ServerState:
        """Returns the load and health of a server."""
        state = self._state_by_backend.get(backend)
        if state is None:
            state = ServerState()
            self._state_by_backend[backend] = state
            self._backend_by_tag[tag_of(backend)] = backend
        return state

    def mean_work_s(self, route_name: str = ALL_ROUTES) -> float:
        """Returns the mean work time in seconds of one route, or of all routes."""
        durations = self._durations_by_route.get(route_name)
        return durations.mean_s if durations else DEFAULT_WORK_S

    def add(self, lease: Lease, now: float) -> None:
        """Adds a lease in place of an earlier one of the same flow."""
        previous = self._remove(lease.flow)
        released = self._released_by_flow.pop(lease.flow, None)
        holders = previous.all_holders() if previous else set()
        if released is not None:
            holders |= released.holders
        lease.former_holders = tuple(sorted(holders - {lease.holder}))
        lease.expires_at = self._expiry_time(lease)
        self.lease_by_flow[lease.flow] = lease
        state = self.server_state(lease.backend)
        state.lease_count += 1
        state.last_leased_at = now
        state.progress.record_lease(now)
        if state.is_suspect(now):
            self._start_avoidance(state, now)

    def tag_of_released(self, flow: FlowKey) -> int:
        """Returns the tag of the server at which a released flow is open, 0 if not known."""
        released = self._released_by_flow.get(flow)
        return released.tag if released else 0

    def is_late_opening(self, flow: FlowKey, arrived_at: float) -> bool:
        """Returns whether a request is for a flow that was released, not for a later one.

        A caller may also use the address and port of a released flow for a new one,
        whose first opening segment arrives later.
        """
        released = self._released_by_flow.get(flow)
        return released is not None and arrived_at < released.released_at

    def holders_of_released(self, flow: FlowKey) -> set[InstanceId]:
        """Returns the instances that may have offered a released flow to a server."""
        released = self._released_by_flow.get(flow)
        return set(released.holders) if released else set()

    def release(self, flow: FlowKey, outcome: Outcome, now: float, tag: int = 0) -> Lease | None:
        """Ends a lease and updates the server's health from its outcome.

        Args:
            flow: The flow.
            outcome: How its work ended.
            now: Current time in seconds.
            tag: Tag of the server at which the flow is open, 0 if not known.

        Returns:
            The lease, None if the flow had none.
        """
        lease = self._remove(flow)
        holders = lease.all_holders() if lease else set()
        previous = self._released_by_flow.get(flow)
        if previous is not None:
            tag = tag or previous.tag
            holders |= previous.holders
        self._released_by_flow[flow] = _ReleasedFlow(now, tag, holders)
        if outcome is Outcome.DONE:
            self._record_finish(lease, tag, now)
        if lease is None:
            return None
        if outcome is Outcome.DONE:
            self.record_answer(lease.backend, now)
            if not lease.is_queued:
                self._record_work(lease, now - lease.started_at, now)
            self._hold_slot(lease, now)
        elif outcome is Outcome.SILENT and not self.has_answered_since(lease):
            self._record_unanswered_offer(lease.backend, now)
        return lease

    def record_answer(self, backend: BackendId, now: float) -> None:
        """Records that a server has answered a flow."""
        state = self.server_state(backend)
        state.unanswered_offers = 0
        state.last_answered_at = now

    def record_stalled_request(self, request: StalledRequest, now: float) -> bool:
        """Records a request without progress.

        It counts only if the usual work time of its kind is known and the request has
        taken longer than a straggler.

        Returns:
            Whether its server is set aside from now on and was not before.
        """
        durations = self._durations_by_route.get(request.route_name)
        if durations is None or not durations.has_enough_samples:
            return False
        if now - request.sent_at < min_stall_s(durations.mean_s):
            return False
        return self.server_state(request.backend).progress.record_stall(request, now)

    def has_answered_since(self, lease: Lease) -> bool:
        """Returns whether the lease's server has answered any flow since the lease began.

        The caller's next segment may have gone to another instance; a server
        that still answers other flows is not dead.
        """
        return self.server_state(lease.backend).last_answered_at >= lease.started_at

    def apply_report(
        self, holder: InstanceId, leases: Iterable[Lease], now: float
    ) -> list[FlowKey]:
        """Replaces the leases of one holder by those that it reports.

        Returns:
            Reported flows that were already released here.
        """
        reported = {lease.flow: lease for lease in leases if self._expiry_time(lease) > now}
        for flow, lease in list(self.lease_by_flow.items()):
            is_old = now - lease.started_at > REPORT_LAG_S
            if lease.holder == holder and flow not in reported and is_old:
                self._remove(flow)
        for flow, lease in reported.items():
            known = self.lease_by_flow.get(flow)
            is_moved = known is not None and known.backend != lease.backend
            if (known is None or is_moved) and flow not in self._released_by_flow:
                self.add(lease, now)
        return [flow for flow in reported if flow in self._released_by_flow]

    def shorten_leases(self, holder: InstanceId, expires_at: float) -> None:
        """Makes the leases of a lost instance expire at ``expires_at`` at the latest."""
        for lease in self.lease_by_flow.values():
            if lease.holder == holder:
                lease.expires_at = min(lease.expires_at, expires_at)

    def reset_server(self, backend: BackendId) -> None:
        """Drops the leases and the state of a server that has restarted."""
        for flow, lease in list(self.lease_by_flow.items()):
            if lease.backend == backend:
                self._remove(flow)
        self._state_by_backend.pop(backend, None)
        self._held_slots = [held for held in self._held_slots if held[1] != backend]
        heapq.heapify(self._held_slots)

    def describe(self, now: float) -> str:
        """Returns the work time and the state of each server for the log.

        Each server is given as id:leases:slowness:unanswered offers:relative work time.
        """
        servers = ','.join(
            f'{backend}:{state.lease_count}:{state.decayed_slowness(now):.2f}:'
            f'{state.unanswered_offers}:{state.speed.expected_time(now):.2f}'
            for backend, state in self._state_by_backend.items()
        )
        oldest_started_at = min(
            (lease.started_at for lease in self.lease_by_flow.values()), default=now
        )
        work_ms = round(self.mean_work_s() * 1000)
        return (
            f'work_ms={work_ms} oldest_ms={round((now - oldest_started_at) * 1000)} '
            f'servers={servers}'
        )

    def compare_speeds(self, backends: Iterable[BackendId]) -> None:
        """Compares the speeds of servers."""
        compare_speeds([self.server_state(backend).speed for backend in backends])

    def free_held_slots(self, now: float) -> None:
        """Frees the slots that were held for the usual work time, which is over."""
        while self._held_slots and self._held_slots[0][0] <= now:
            _, backend = heapq.heappop(self._held_slots)
            self.server_state(backend).lease_count -= 1

    def prune_expired(self, now: float) -> int:
        """Drops expired leases and returns their number."""
        self.free_held_slots(now)
        expired = [flow for flow, lease in self.lease_by_flow.items() if lease.expires_at <= now]
        for flow in expired:
            self._remove(flow)
        return len(expired)

    def prune_released(self, now: float) -> None:
        """Drops released flows that are past their retention time."""
        cutoff = now - RELEASED_RETENTION_S
        self._released_by_flow = {
            flow: released
            for flow, released in self._released_by_flow.items()
            if released.released_at > cutoff
        }

    def _expiry_time(self, lease: Lease) -> float:
        duration_s = min(
            max(self.mean_work_s(lease.route_name) * LEASE_TO_WORK_RATIO, MIN_LEASE_S), MAX_LEASE_S
        )
        return min(lease.expires_at, lease.started_at + duration_s)

    def _remove(self, flow: FlowKey) -> Lease | None:
        lease = self.lease_by_flow.pop(flow, None)
        if lease is not None:
            self.server_state(lease.backend).lease_count -= 1
        return lease

    def _record_work(self, lease: Lease, work_s: float, now: float) -> None:
        self._route_durations(ALL_ROUTES).add(work_s)
        durations = self._route_durations(lease.route_name)
        durations.add(work_s)
        state = self.server_state(lease.backend)
        ratio = min(work_s / max(durations.mean_s, 0.001), MAX_SLOWNESS_RATIO)
        if durations.has_enough_samples:
            state.speed.add(work_s / max(durations.mean_s, 0.001), now)
        slowness = state.decayed_slowness(now)
        state.slowness = slowness + (ratio - slowness) * SLOWNESS_EWMA_WEIGHT
        state.slowness_updated_at = now
        if state.slowness < FAST_FAILURE_RATIO:
            self._start_avoidance(state, now)

    def _record_finish(self, lease: Lease | None, tag: int, now: float) -> None:
        """Records that a server has finished a flow, whose lease may have expired."""
        backend = lease.backend if lease else self._backend_by_tag.get(tag)
        state = self._state_by_backend.get(backend) if backend else None
        if state is not None:
            state.progress.record_finish(now)

    def _hold_slot(self, lease: Lease, now: float) -> None:
        """Counts a slot of a server that fails requests as taken for the usual time.

        Otherwise its slots would be free more often than those of others, and it would get
        more flows the more it fails.
        """
        kind = QUEUED_FLOWS if lease.is_queued else lease.route_name
        usual = self._route_durations(kind)
        state = self.server_state(lease.backend)
        if not state.speed.fails_requests:
            if lease.is_queued:
                usual.add(now - lease.started_at)
            return
        held_until = lease.started_at + usual.mean_s
        if held_until > now:
            heapq.heappush(self._held_slots, (held_until, lease.backend))
            state.lease_count += 1

    def _route_durations(self, route_name: str) -> Durations:
        durations = self._durations_by_route.get(route_name)
        if durations is None:
            durations = Durations(DEFAULT_WORK_S)
            self._durations_by_route[route_name] = durations
        return durations

    def _record_unanswered_offer(self, backend: BackendId, now: float) -> None:
        state = self.server_state(backend)
        state.unanswered_offers += 1
        self._start_avoidance(state, now)

    def _start_avoidance(self, state: ServerState, now: float) -> None:
        excess_count = max(state.unanswered_offers - AVOID_AFTER_UNANSWERED_OFFERS, 0)
        state.avoided_until = now + min(
            INITIAL_AVOIDANCE_S * 2 ** min(excess_count, 4), MAX_AVOIDANCE_S
        )
