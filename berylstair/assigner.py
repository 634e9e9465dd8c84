"""Assigns the flows of a service to servers.

One instance dispatches for a service, so that it sees all work in progress.
Every instance has an assigner, because it places flows itself while the
dispatching instance is unreachable.
"""

import math
from collections.abc import Callable, Iterable, Sequence
from dataclasses import dataclass, field
from enum import IntEnum, unique
from typing import NamedTuple

from berylstair.admission import expected_wait_s, should_refuse
from berylstair.cold_rate import NOT_COLD_MS
from berylstair.cold_servers import ColdServers
from berylstair.directory import Directory
from berylstair.ids import BackendId, FlowKey, InstanceId, ServiceName, ZoneId
from berylstair.lease_table import Lease, LeaseTable, Outcome
from berylstair.record import BackendServer
from berylstair.request_progress import StalledRequest, limit_set_aside
from berylstair.segment import service_address
from berylstair.server_selection import ServerCandidate, choose_server, has_capacity
from berylstair.service_order import work_ahead_s
from berylstair.tag import tag_of
from berylstair.wait_queue import PlacementRequest, WaitQueue

__all__ = ['FRESH_FLOW_MAX_AGE_S', 'Assigner', 'PlacementDecision', 'PlacementResult']

# The caller of a flow that waited longer may have given up, so a missing answer says
# nothing about the server.
FRESH_FLOW_MAX_AGE_S = 0.5
# The warm-up of servers and the reachability of zones change more slowly than this.
CANDIDATES_REFRESH_S = 0.1
MS_PER_S = 1000


@unique
class PlacementDecision(IntEnum):
    """Placement decision on a new flow."""

    PLACED = 1
    WAITING = 2
    REFUSED = 3


class PlacementResult(NamedTuple):
    """A decision, for the instance that holds the flow.

    Attributes:
        server: Server that the flow is placed on, None unless it is placed.
        lease_count: Leases on that server at the time of the decision.
        is_cold: Whether that server is cold and has a rate limit.
    """

    request: PlacementRequest
    decision: PlacementDecision
    server: BackendServer | None = None
    lease_count: int = 0
    is_cold: bool = False

    def cold_age_ms(self, now: float) -> int:
        """Returns the age of the flow at a grant for a cold server, made at ``now``."""
        if not self.is_cold:
            return NOT_COLD_MS
        return max(math.floor((now - self.request.arrived_at) * MS_PER_S), 0)


@dataclass(slots=True)
class _ServiceState:
    """State of one service.

    Attributes:
        candidates: Servers to choose from, as of ``refreshed_at``.
        slots: Slots of all candidates that are not avoided and may be offered flows.
    """

    lease_table: LeaseTable = field(default_factory=LeaseTable)
    wait_queue: WaitQueue = field(default_factory=WaitQueue)
    started_at_ms_by_id: dict[BackendId, int] = field(default_factory=dict)
    accepting: tuple[BackendServer, ...] = ()
    candidates: list[ServerCandidate] = field(default_factory=list)
    refreshed_at: float = -math.inf
    slots: int = 0


class Assigner:
    """Assigns flows to servers by the leases that are counted here.

    The counts are exact on the dispatching instance and partial on others.

    Attributes:
        is_server_dead: Returns whether a server was found dead and gets no new flows.
    """

    def __init__(
        self,
        directory: Directory,
        is_zone_reachable: Callable[[ZoneId], bool],
        cold_servers: ColdServers,
    ) -> None:
        """Starts without leases.

        Args:
            directory: Directory of the servers in use.
            is_zone_reachable: Returns whether servers of a zone can be reached.
            cold_servers: Determines which cold servers may be offered flows.
        """
        self._directory = directory
        self._cold_servers = cold_servers
        self._is_zone_reachable = is_zone_reachable
        self.is_server_dead: Callable[[BackendId, float], bool] = lambda _backend, _now: False
        self._state_by_service: dict[ServiceName, _ServiceState] = {}

    @property
    def waiting_count(self) -> int:
        """Number of flows that wait for a slot."""
        return sum(len(state.wait_queue) for state in self._state_by_service.values())

    @property
    def lease_count(self) -> int:
        """Number of leases counted here."""
        return sum(
            len(state.lease_table.lease_by_flow) for state in self._state_by_service.values()
        )

    @property
    def set_aside_count(self) -> int:
        """Number of servers that are set aside because they answer no request."""
        return sum(
            candidate.state.progress.is_suspect and not candidate.state.progress.is_excused
            for state in self._state_by_service.values()
            for candidate in state.candidates
        )

    @property
    def evacuated_lease_count(self) -> int:
        """Number of leases counted here on servers of evacuated zones."""
        return sum(
            self._directory.is_server_evacuated(lease.backend)
            for state in self._state_by_service.values()
            for lease in state.lease_table.lease_by_flow.values()
        )

    @property
    def failing_count(self) -> int:
        """Number of servers whose work times show that they fail requests at once."""
        return sum(
            candidate.state.speed.fails_requests
            for state in self._state_by_service.values()
            for candidate in state.candidates
        )

    def lease_table(self, service: ServiceName) -> LeaseTable:
        """Returns the leases of a service."""
        return self._service_state(service).lease_table

    def place(self, request: PlacementRequest, now: float) -> PlacementResult:
        """Decides on a new flow.

        Args:
            request: Placement request for the flow.
            now: Current time in seconds.

        Returns:
            The decision: placed on a server, waiting or refused.
        """
        state = self._service_state(request.service)
        candidates = self._candidates(request.service, now)
        repeated = self._repeat_decision(state, candidates, request, now)
        if repeated is not None:
            return repeated
        if not state.wait_queue:
            placement = self._try_place(state, candidates, request, now)
            if placement is not None:
                return placement
        work_s_of = state.lease_table.mean_work_s
        waiting = state.wait_queue.request_by_flow.values()
        wait_s = expected_wait_s(work_ahead_s(request, waiting, work_s_of), state.slots)
        waited_s = now - request.arrived_at
        is_hopeless = should_refuse(wait_s, work_s_of(request.kind), waited_s, request.deadline_s)
        if is_hopeless or not state.slots:
            return PlacementResult(request, PlacementDecision.REFUSED)
        state.wait_queue.add(request, now)
        return PlacementResult(request, PlacementDecision.WAITING)

    def release(
        self, service: ServiceName, flow: FlowKey, outcome: Outcome, now: float, tag: int = 0
    ) -> Lease | None:
        """Releases a flow's lease, if it has one, and ends its wait.

        Args:
            service: Service of the flow.
            flow: The flow.
            outcome: How its work ended.
            now: Current time in seconds.
            tag: Tag of the server at which the flow is open, 0 if not known.

        Returns:
            The lease, None if the flow had none.
        """
        state = self._service_state(service)
        state.wait_queue.remove(flow)
        lease = state.lease_table.release(flow, outcome, now, tag)
        if lease is not None:
            self._cold_servers.record_opened(service, lease, tag)
        return lease

    def record_stalled_request(
        self, service: ServiceName, request: StalledRequest, now: float
    ) -> bool:
        """Records a request without progress.

        Returns:
            Whether its server is set aside from now on and was not before.
        """
        state = self._service_state(service)
        candidates = self._candidates(service, now)
        is_new = state.lease_table.record_stalled_request(request, now)
        limit_set_aside([candidate.state.progress for candidate in candidates])
        progress = state.lease_table.server_state(request.backend).progress
        return is_new and progress.is_set_aside(now)

    def add_lease(self, service: ServiceName, lease: Lease, now: float) -> None:
        """Counts a lease that another instance granted."""
        self._service_state(service).lease_table.add(lease, now)

    def place_waiting_flows(self, now: float) -> list[PlacementResult]:
        """Places waiting flows in slots that became free; refuses those that waited too long.

        Returns:
            Decisions for the holders of those flows.
        """
        placements: list[PlacementResult] = []
        for service, state in self._state_by_service.items():
            if state.wait_queue:
                placements.extend(self._place_waiting_for_service(service, state, now))
        return placements

    def prune(self, now: float) -> None:
        """Drops expired leases and the state of restarted servers."""
        for service, state in self._state_by_service.items():
            state.lease_table.prune_expired(now)
            state.lease_table.prune_released(now)
            accepting = self._directory.accepting_servers(service, now)
            state.lease_table.compare_speeds(server.id for server in accepting)
            for server in accepting:
                started_at_ms = self._directory.started_at_ms(server.id)
                previous_started_at_ms = state.started_at_ms_by_id.get(server.id, started_at_ms)
                if started_at_ms != previous_started_at_ms:
                    state.lease_table.reset_server(server.id)
                    state.refreshed_at = -math.inf
                state.started_at_ms_by_id[server.id] = started_at_ms

    def handle_holder_lost(self, holder: InstanceId, expires_at: float) -> None:
        """Shortens the leases and ends the waits of an instance that was declared lost."""
        for state in self._state_by_service.values():
            state.lease_table.shorten_leases(holder, expires_at)
            for request in list(state.wait_queue.request_by_flow.values()):
                if request.holder == holder:
                    state.wait_queue.remove(request.flow)

    def describe(self, now: float) -> list[str]:
        """Returns a log line for each service that has leases or waiting flows here."""
        return [
            f'service={service} waiting={len(state.wait_queue)} {state.lease_table.describe(now)}'
            for service, state in self._state_by_service.items()
            if state.lease_table.lease_by_flow or state.wait_queue
        ]

    def _place_waiting_for_service(
        self, service: ServiceName, state: _ServiceState, now: float
    ) -> Iterable[PlacementResult]:
        state.lease_table.prune_expired(now)
        candidates = self._candidates(service, now)
        if not candidates and self._directory.evacuations:
            # No slot of the evacuated zones becomes free while their callers wait.
            for stranded in list(state.wait_queue.request_by_flow.values()):
                state.wait_queue.remove(stranded.flow)
                yield PlacementResult(stranded, PlacementDecision.REFUSED)
        work_s_of = state.lease_table.mean_work_s
        while has_capacity(candidates):
            request = state.wait_queue.select_next(work_s_of, state.slots, now)
            placement = self._try_place(state, candidates, request, now) if request else None
            if placement is None or request is None:
                break
            state.wait_queue.remove_placed(request, work_s_of(request.kind))
            yield placement
        for hopeless in state.wait_queue.find_hopeless(work_s_of, now):
            state.wait_queue.remove(hopeless.flow)
            yield PlacementResult(hopeless, PlacementDecision.REFUSED)

    def _try_place(
        self,
        state: _ServiceState,
        candidates: list[ServerCandidate],
        request: PlacementRequest,
        now: float,
    ) -> PlacementResult | None:
        offerable = self._cold_servers.offerable(request.service, candidates, now)
        chosen = choose_server(offerable, request.constraints, now, requires_capacity=True)
        return self._grant_lease(state, request, chosen, now) if chosen else None

    def _repeat_decision(
        self,
        state: _ServiceState,
        candidates: list[ServerCandidate],
        request: PlacementRequest,
        now: float,
    ) -> PlacementResult | None:
        """Returns the decision on a flow that was requested before, None if there is none.

        A server that left the opening segment unanswered is kept while it
        answers other flows: the flow may be open there, with its segments
        going through another instance. For the same reason another holder gets
        the server that the flow was placed on for the one before.
        """
        opened = self._find_opened(state, candidates, request, now)
        if opened is not None:
            return opened
        if request.flow in state.wait_queue.request_by_flow:
            state.wait_queue.add(request, now)
            return PlacementResult(request, PlacementDecision.WAITING)
        lease = state.lease_table.lease_by_flow.get(request.flow)
        if lease is None:
            return None
        is_excluded = lease.backend in request.constraints.excluded
        if is_excluded and not state.lease_table.has_answered_since(lease):
            is_fresh = lease.started_at - request.arrived_at < FRESH_FLOW_MAX_AGE_S
            state.lease_table.release(
                request.flow, Outcome.SILENT if is_fresh else Outcome.ENDED, now
            )
            return None
        is_evacuated = self._directory.is_server_evacuated(lease.backend)
        if lease.holder != request.holder and not is_evacuated:
            lease.former_holders = (*lease.former_holders, lease.holder)
            lease.holder = request.holder
        for candidate in candidates:
            if candidate.server.id == lease.backend:
                return self._repeat_offer(request, candidate, now)
        return self._repeat_evacuated(state, lease, request) if is_evacuated else None

    def _repeat_evacuated(
        self, state: _ServiceState, lease: Lease, request: PlacementRequest
    ) -> PlacementResult | None:
        """Returns the decision on a flow that was placed on a server of an evacuated zone.

        It is placed again, unless it may be open there with another holder. That one
        knows, and releases the lease or requests another server once an offer times out.
        """
        if request.holder == lease.holder or not state.lease_table.has_answered_since(lease):
            return None
        if request.holder not in lease.former_holders:
            lease.former_holders = (*lease.former_holders, request.holder)
        return PlacementResult(request, PlacementDecision.WAITING)

    def _find_opened(
        self,
        state: _ServiceState,
        candidates: list[ServerCandidate],
        request: PlacementRequest,
        now: float,
    ) -> PlacementResult | None:
        """Returns the server at which a released flow is open, whose opening came late."""
        tag = state.lease_table.tag_of_released(request.flow)
        if not tag:
            return None
        opened = self._directory.find_by_tag(tag, service_address(request.flow))
        if opened is not None and not self._directory.may_open_at(opened.server):
            if not state.lease_table.is_late_opening(request.flow, request.arrived_at):
                return None
            # Another server's answer would change the tag of the open flow, and a refusal
            # would reset it. The holder waits until its caller sends no further opening.
            return PlacementResult(request, PlacementDecision.WAITING)
        for candidate in candidates:
            if tag_of(candidate.server.id) == tag:
                return self._repeat_offer(request, candidate, now)
        return None

    def _repeat_offer(
        self, request: PlacementRequest, candidate: ServerCandidate, now: float
    ) -> PlacementResult:
        """Offers a flow again to the same server; to a cold one only within its rate limit.

        Until then its holder requests the placement again, as for a flow that waits.
        """
        if not self._cold_servers.is_offerable(request.service, candidate, now):
            return PlacementResult(request, PlacementDecision.WAITING)
        is_cold = self._cold_servers.record_offer(request.service, candidate, request.flow, now)
        lease_count = candidate.state.lease_count
        return PlacementResult(
            request, PlacementDecision.PLACED, candidate.server, lease_count, is_cold
        )

    def _grant_lease(
        self,
        state: _ServiceState,
        request: PlacementRequest,
        candidate: ServerCandidate,
        now: float,
    ) -> PlacementResult:
        lease_count = candidate.state.lease_count
        lease = Lease(
            request.flow, candidate.server.id, request.constraints.route_name, request.holder, now
        )
        lease.is_queued = lease_count >= candidate.server.slots
        state.lease_table.add(lease, now)
        is_cold = self._cold_servers.record_offer(request.service, candidate, request.flow, now)
        return PlacementResult(
            request, PlacementDecision.PLACED, candidate.server, lease_count, is_cold
        )

    def _candidates(self, service: ServiceName, now: float) -> list[ServerCandidate]:
        """Returns the servers to choose from, rebuilt when they change and at an interval."""
        state = self._service_state(service)
        state.lease_table.free_held_slots(now)
        accepting = self._directory.accepting_servers(service, now)
        if accepting is state.accepting and now - state.refreshed_at < CANDIDATES_REFRESH_S:
            return state.candidates
        alive = [server for server in accepting if not self.is_server_dead(server.id, now)]
        reachable = [server for server in alive if self._is_zone_reachable(server.zone)]
        state.accepting = accepting
        state.refreshed_at = now
        state.candidates = [
            ServerCandidate(
                server,
                state.lease_table.server_state(server.id),
                self._directory.warmup_left_s(server.id, now) > 0,
            )
            for server in reachable or alive
        ]
        limit_set_aside([candidate.state.progress for candidate in state.candidates])
        offerable = self._cold_servers.offerable(service, state.candidates, now)
        state.slots = _count_usable_slots(offerable, now) or self._cold_servers.equivalent_slots(
            service, len(state.candidates), state.lease_table.mean_work_s()
        )
        return state.candidates

    def _service_state(self, service: ServiceName) -> _ServiceState:
        state = self._state_by_service.get(service)
        if state is None:
            state = _ServiceState()
            self._state_by_service[service] = state
        return state


def _count_usable_slots(candidates: Sequence[ServerCandidate], now: float) -> int:
    """Returns the slots of the servers that are not avoided, those of all if all are."""
    usable = [candidate for candidate in candidates if not candidate.state.is_avoided(now)]
    return sum(candidate.server.slots for candidate in usable or candidates)
