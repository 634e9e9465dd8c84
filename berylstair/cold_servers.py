"""Which cold servers may be offered flows, for all services.

Load pattern: see ``cold_rate``, which counts the offers of one service, and
``cold_mandate``, which determines the instance that may make them. Servers of a service
without a stated rate, and all servers where the operator sets no bound, are not limited.
"""

from collections.abc import Callable, Sequence
from dataclasses import dataclass, field

from berylstair.cold_rate import ColdRateLimiter
from berylstair.counter import Counters, Traffic
from berylstair.directory import Directory
from berylstair.ids import BackendId, FlowKey, ServiceName
from berylstair.lease_table import Lease
from berylstair.server_selection import ServerCandidate
from berylstair.steering_settings import ColdLimit
from berylstair.tag import tag_of

__all__ = ['ColdServers']


@dataclass(slots=True)
class _ColdService:
    """State of one service.

    Attributes:
        deferred_backends: Servers that were left out of a choice since the last report.
    """

    limiter: ColdRateLimiter = field(default_factory=ColdRateLimiter)
    deferred_backends: set[BackendId] = field(default_factory=set)


class ColdServers:
    """Excludes cold servers at their rate limit, and all of them without the mandate."""

    def __init__(
        self,
        directory: Directory,
        cold_limit: ColdLimit | None,
        is_mandate_held: Callable[[ServiceName, float], bool],
        counters: Counters,
    ) -> None:
        """Starts without offers.

        Args:
            directory: Directory of the servers and of the services' cold starts.
            cold_limit: Bound that the operator sets, None if there is none.
            is_mandate_held: Returns whether this instance may offer flows to cold servers
                of a service.
            counters: Counts offers to cold servers.
        """
        self._directory = directory
        self.cold_limit = cold_limit
        self._is_mandate_held = is_mandate_held
        self._counters = counters
        self._state_by_service: dict[ServiceName, _ColdService] = {}

    def segment_limit(self, service: ServiceName) -> int | None:
        """Returns the opening segments that a cold server may get in any sliding second.

        None if the servers of the service are not limited.
        """
        cold_start = self._directory.cold_start(service) if self.cold_limit else None
        if self.cold_limit is None or cold_start is None:
            return None
        return self.cold_limit.segments_per_s(cold_start.requests_per_s)

    def is_limited(self, service: ServiceName, backend: BackendId, now: float) -> bool:
        """Returns whether a server is cold and has a rate limit."""
        return (
            self.segment_limit(service) is not None
            and self._directory.warmup_left_s(backend, now) > 0
        )

    def offerable(
        self, service: ServiceName, candidates: Sequence[ServerCandidate], now: float
    ) -> Sequence[ServerCandidate]:
        """Returns the servers that may be offered a flow now.

        Args:
            service: Service of the flow.
            candidates: Servers that accept flows.
            now: Current time in seconds.
        """
        limit = self.segment_limit(service)
        if limit is None or not any(candidate.is_cold for candidate in candidates):
            return candidates
        state = self._service_state(service)
        is_held = self._is_mandate_held(service, now)
        offerable = []
        for candidate in candidates:
            backend = candidate.server.id
            if candidate.is_cold and not (is_held and state.limiter.has_room(backend, limit, now)):
                state.deferred_backends.add(backend)
            else:
                offerable.append(candidate)
        return offerable

    def is_offerable(self, service: ServiceName, candidate: ServerCandidate, now: float) -> bool:
        """Returns whether a server may be offered a flow now."""
        return bool(self.offerable(service, (candidate,), now))

    def equivalent_slots(self, service: ServiceName, server_count: int, work_s: float) -> int:
        """Returns the slots of usual servers that serve as many flows as cold servers.

        Args:
            service: The service.
            server_count: Number of its servers, all of which are cold.
            work_s: Mean work time of a flow in seconds.
        """
        limit = self.segment_limit(service)
        if limit is None or not server_count:
            return 0
        return max(round(server_count * limit * work_s), 1)

    def record_offer(
        self, service: ServiceName, candidate: ServerCandidate, flow: FlowKey, now: float
    ) -> bool:
        """Counts the offer of a flow to a server; returns whether the server is limited."""
        if not candidate.is_cold or self.segment_limit(service) is None:
            return False
        self._service_state(service).limiter.record_offer(candidate.server.id, flow, now)
        self._counters.record_traffic(Traffic.COLD_OFFERS)
        return True

    def record_opened(self, service: ServiceName, lease: Lease, tag: int) -> None:
        """Notes where the flow of a released lease is open, given the server's tag."""
        state = self._state_by_service.get(service)
        if state is not None and tag == tag_of(lease.backend):
            state.limiter.record_opened(lease.backend, lease.flow)

    def report_deferred(self, now: float) -> list[str]:
        """Returns a log line for each service whose cold servers were left out of a choice.

        Called once a second; each call reports what was left out since the previous one.
        """
        lines = []
        for service, state in self._state_by_service.items():
            state.limiter.prune(now)
            if state.deferred_backends:
                lines.append(
                    f'service={service} servers={len(state.deferred_backends)} '
                    f'limit={self.segment_limit(service)} '
                    f'mandate={int(self._is_mandate_held(service, now))}'
                )
                state.deferred_backends.clear()
        return lines

    def count(self, now: float) -> int:
        """Returns the number of cold servers of the services that state their cold start."""
        directory = self._directory
        return sum(
            directory.cold_start(row.service) is not None
            and directory.warmup_left_s(row.server.id, now) > 0
            for row in directory.registered_servers()
        )

    def _service_state(self, service: ServiceName) -> _ColdService:
        state = self._state_by_service.get(service)
        if state is None:
            state = _ColdService()
            self._state_by_service[service] = state
        return state
