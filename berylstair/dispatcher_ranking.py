"""Which instance dispatches for a service."""

from berylstair.ids import InstanceId, ServiceName
from berylstair.rendezvous import weighted_rank

__all__ = ['DispatcherRanking']

# A dispatching instance that left an ask unanswered is passed over for so long;
# one lost datagram must not move its work.
SUSPECT_DURATION_S = 0.5
SUSPECT_AFTER_TIMEOUTS = 2
# Instances, as a share of the fleet, that dispatch: the strongest, and whoever is
# as strong as the last of these. A slow one delays every new flow of a service.
DISPATCHER_RATIO = 1 / 16
# Fewer would leave none of them once two machines are lost together.
MIN_DISPATCHERS = 3


class DispatcherRanking:
    """Orders the instances for each service; views that agree agree on the first."""

    def __init__(self, own_id: InstanceId, own_capacity: int) -> None:
        """Knows the own capacity only.

        Args:
            own_id: This instance.
            own_capacity: New flows a second that it could decide on.
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
        """Returns the first choice that is not suspect.

        Args:
            service: What is to be dispatched.
            eligible: Instances that are alive and stay.
            now: Current time in seconds.
        """
        for peer in self._cached_ranking(service, eligible):
            if self._suspect_until_by_id.get(peer, 0) <= now:
                return peer
        return self._own_id

    def record_capacity(self, peer: InstanceId, capacity: int) -> None:
        """Notes what a peer tells of itself."""
        if self._capacity_by_id.get(peer) != capacity:
            self._capacity_by_id[peer] = capacity
            self._cached_for_eligible = ()

    def record_timeout(self, peer: InstanceId, now: float) -> None:
        """Notes that an instance did not answer in time."""
        timeouts = self._timeouts_by_id.get(peer, 0) + 1
        self._timeouts_by_id[peer] = timeouts
        if timeouts >= SUSPECT_AFTER_TIMEOUTS:
            self._suspect_until_by_id[peer] = now + SUSPECT_DURATION_S

    def record_answer(self, peer: InstanceId) -> None:
        """Notes that an instance answered."""
        self._timeouts_by_id.pop(peer, None)
        self._suspect_until_by_id.pop(peer, None)

    def _cached_ranking(
        self, service: ServiceName, eligible: tuple[InstanceId, ...]
    ) -> list[InstanceId]:
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
        """Orders the strong instances by weight, then the others."""
        capacity_by_id = {peer: self._capacity_by_id.get(peer, 1) for peer in eligible}
        dispatcher_count = max(round(len(eligible) * DISPATCHER_RATIO), MIN_DISPATCHERS)
        top_capacities = sorted(capacity_by_id.values(), reverse=True)[:dispatcher_count]
        min_capacity = min(top_capacities, default=0)
        weights = [float(capacity) for capacity in capacity_by_id.values()]
        ranked = [InstanceId(name) for name in weighted_rank(service.encode(), eligible, weights)]
        return sorted(ranked, key=lambda peer: capacity_by_id[peer] < min_capacity)
