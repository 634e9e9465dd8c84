"""Health of backend servers, judged by the outcomes of this instance's attempts."""

from dataclasses import dataclass, field

from berylstair.durations import Durations
from berylstair.ids import BackendId
from berylstair.record import WorkClass
from berylstair.view import Service

__all__ = ['ServiceHealth']

EJECTION_FAILURES = 3
BASE_EJECTION_S = 5.0
MAX_EJECTED_RATIO = 1 / 3
SLOW_START_S = 10.0
SHED_BACKOFF_S = 0.05
_DEFAULT_DURATION_S_BY_CLASS = {WorkClass.SHORT: 0.05, WorkClass.LONG: 0.5}


@dataclass(slots=True)
class _ServerHealth:
    """Health of one backend server; times in seconds."""

    consecutive_failures: int = 0
    consecutive_ejections: int = 0
    ejected_until: float = 0.0
    backoff_until: float = 0.0
    slow_start_at: float | None = None


@dataclass(slots=True)
class ServiceHealth:
    """Health and work durations of the backend servers of one service."""

    durations: dict[WorkClass, Durations] = field(
        default_factory=lambda: {
            work: Durations(_DEFAULT_DURATION_S_BY_CLASS[work]) for work in WorkClass
        },
    )
    _health_by_id: dict[BackendId, _ServerHealth] = field(default_factory=dict)
    _accepting_ids: set[BackendId] = field(default_factory=set)

    def apply_service(self, service: Service, now: float) -> None:
        """Begins the slow start of servers that newly accept work."""
        accepting = {server.id for server in service.accepting_servers}
        if self._accepting_ids:
            for backend in accepting - self._accepting_ids:
                self._get_health(backend).slow_start_at = now
        self._accepting_ids = accepting

    def record_success(self, backend: BackendId) -> None:
        """Records a complete response, which resets failures and ejections to zero."""
        health = self._get_health(backend)
        health.consecutive_failures = 0
        health.consecutive_ejections = 0

    def record_shed(self, backend: BackendId, now: float) -> None:
        """Records that the server shed work; it gets none for ``SHED_BACKOFF_S``."""
        self._get_health(backend).backoff_until = now + SHED_BACKOFF_S

    def record_failure(self, backend: BackendId, service: Service, now: float) -> bool:
        """Records an attempt without a response.

        Args:
            backend: The server.
            service: Its service.
            now: Current time in seconds.

        Returns:
            True if this failure ejects the server.
        """
        health = self._get_health(backend)
        health.consecutive_failures += 1
        if health.consecutive_failures < EJECTION_FAILURES or not self._can_eject(service, now):
            return False
        health.consecutive_failures = 0
        health.consecutive_ejections += 1
        health.ejected_until = now + BASE_EJECTION_S * health.consecutive_ejections
        health.slow_start_at = health.ejected_until
        return True

    def is_usable(self, backend: BackendId, now: float) -> bool:
        """Returns whether the server may get new work now."""
        health = self._health_by_id.get(backend)
        return health is None or now >= max(health.ejected_until, health.backoff_until)

    def usable_slots(self, backend: BackendId, slot_count: int, now: float) -> int:
        """Returns how many slots of a server may be used, fewer in its slow start."""
        health = self._health_by_id.get(backend)
        if health is None or health.slow_start_at is None:
            return slot_count
        share = (now - health.slow_start_at) / SLOW_START_S
        if share >= 1:
            health.slow_start_at = None
            return slot_count
        return max(1, int(slot_count * share))

    def _get_health(self, backend: BackendId) -> _ServerHealth:
        return self._health_by_id.setdefault(backend, _ServerHealth())

    def _can_eject(self, service: Service, now: float) -> bool:
        ejected = sum(now < health.ejected_until for health in self._health_by_id.values())
        return ejected + 1 <= len(service.accepting_servers) * MAX_EJECTED_RATIO
