"""Determines which instance dispatches for a service."""

from berylstair.ids import InstanceId, ServiceName
from berylstair.rendezvous import weighted_rank

__all__ = ['DispatcherRanking']

# How long a dispatching instance is skipped after unanswered placement requests.
SUSPECT_DURATION_S = 0.5
# Unanswered requests in a row after which it is skipped; one lost datagram must not move its
# services to another instance.
SUSPECT_AFTER_TIMEOUTS = 2
# Share of the fleet that dispatches: the instances with the highest capacities, and any
# with the same capacity as the last of these. A slow one would delay every new flow of
# a service.
DISPATCHER_RATIO = 1 / 16
# With fewer dispatchers, the loss of two machines at the same time could leave none of them.
MIN_DISPATCHERS = 3


class DispatcherRanking:
    """Ranks the instances for each service.

    Instances that agree on who is alive, and on the capacities, rank alike.
    """

    def __init__(self, own_id: InstanceId, own_capacity: int) -> None:
        """Starts with the capacity of this instance only.

        Args:
            own_id: This instance.
            own_capacity: Placements per second that it could decide.
        """
        self._own_id = own_id
        self._capacity_by_id: dict[InstanceId, int] = {own_id: own_capacity}
        self._timeouts_by_id: dict[InstanceId, int] = {}
        self._suspect_until_by_id: dict[InstanceId, float] = {}
        self._ranking_by_service: dict[ServiceName, list[InstanceId]] = {}
        self._cached_for_eligible: tuple[InstanceId, ...] = ()

    def first_available(
        self, service: ServiceName, eligible: tuple[InstanceId, ...], now: float
    ) -> InstanceId:
        """Returns the highest-ranked instance that is not suspect, this one if all are.

        Args:
            service: Service whose new flows are to be placed.
            eligible: Instances that are alive and not leaving.
            now: Current time in seconds.
        """
        for peer in self.ranking(service, eligible):
            if self._suspect_until_by_id.get(peer, 0) <= now:
                return peer
        return self._own_id

    def first_ranked(
        self, service: ServiceName, eligible: tuple[InstanceId, ...]
    ) -> InstanceId | None:
        """Returns the highest-ranked instance, suspect or not; None without eligible ones."""
        return next(iter(self.ranking(service, eligible)), None)

    def record_capacity(self, peer: InstanceId, capacity: int) -> None:
        """Records the capacity that a peer reports, in placements per second, at least 1."""
        capacity = max(capacity, 1)
        if self._capacity_by_id.get(peer) != capacity:
            self._capacity_by_id[peer] = capacity
            self._cached_for_eligible = ()

    def record_timeout(self, peer: InstanceId, now: float) -> None:
        """Records that an instance did not answer in time."""
        timeouts = self._timeouts_by_id.get(peer, 0) + 1
        self._timeouts_by_id[peer] = timeouts
        if timeouts >= SUSPECT_AFTER_TIMEOUTS:
            self._suspect_until_by_id[peer] = now + SUSPECT_DURATION_S

    def record_answer(self, peer: InstanceId) -> None:
        """Records that an instance answered."""
        self._timeouts_by_id.pop(peer, None)
        self._suspect_until_by_id.pop(peer, None)

    def ranking(self, service: ServiceName, eligible: tuple[InstanceId, ...]) -> list[InstanceId]:
        """Returns the eligible instances by rank, suspect ones included."""
        if eligible != self._cached_for_eligible:
            self._cached_for_eligible = eligible
            self._ranking_by_service = {}
        ranked = self._ranking_by_service.get(service)
        if ranked is None:
            ranked = self._compute_ranking(service, eligible)
            self._ranking_by_service[service] = ranked
        return ranked

    def _compute_ranking(
        self, service: ServiceName, eligible: tuple[InstanceId, ...]
    ) -> list[InstanceId]:
        """Ranks by rendezvous hash, weighted by capacity.

        Instances whose capacity is too small to dispatch come last.
        """
        capacity_by_id = {peer: self._capacity_by_id.get(peer, 1) for peer in eligible}
        dispatcher_count = max(round(len(eligible) * DISPATCHER_RATIO), MIN_DISPATCHERS)
        top_capacities = sorted(capacity_by_id.values(), reverse=True)[:dispatcher_count]
        min_capacity = min(top_capacities, default=0)
        weights = [float(capacity) for capacity in capacity_by_id.values()]
        ranked = [InstanceId(name) for name in weighted_rank(service.encode(), eligible, weights)]
        return sorted(ranked, key=lambda peer: capacity_by_id[peer] < min_capacity)
