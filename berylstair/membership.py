"""Failure detection by heartbeats: which other entry instances are reachable."""

from dataclasses import dataclass, field

from berylstair.heartbeat import Heartbeat, LoadRow
from berylstair.ids import InstanceId, ZoneId
from berylstair.record import Instance

__all__ = ['HEARTBEAT_INTERVAL_S', 'PAUSE_THRESHOLD_S', 'PEER_TIMEOUT_S', 'Membership', 'Peer']

HEARTBEAT_INTERVAL_S = 0.5
PEER_TIMEOUT_S = 1.75
PAUSE_THRESHOLD_S = 1.0
RECONNECT_GRACE_S = 0.6


@dataclass(slots=True)
class Peer:
    """State of another instance, as last reported by its heartbeats.

    Attributes:
        incarnation: Start time of its process in ms.
        last_heard_at: When its last message arrived, in seconds; None before
            the first one and after it was declared lost.
        list_version: Version of the instances record that it has in force.
        list_version_since: When this incarnation first reported that version,
            in seconds.
    """

    id: InstanceId
    zone: ZoneId
    incarnation: int = 0
    last_heard_at: float | None = None
    list_version: int = 0
    list_version_since: float = 0.0
    records_digest: bytes = b''
    is_leaving: bool = False
    load: tuple[LoadRow, ...] = field(default=())
    deputy_for: tuple[str, ...] = ()


class Membership:
    """Failure detection by heartbeats, which tolerates pauses of this process.

    The published list says which instances may be peers; a peer is reachable
    while its messages arrive. A process that was paused has received nothing
    meanwhile, so on resuming it restarts the timeout of every peer instead of
    declaring all of them lost.
    """

    def __init__(self, own_id: InstanceId, zone: ZoneId) -> None:
        """Sets up a membership that consists of this instance only."""
        self.own_id = own_id
        self.zone = zone
        self.is_leaving = False
        self.peer_timeout_s = PEER_TIMEOUT_S
        self.peer_by_id: dict[InstanceId, Peer] = {}
        self.eligible_changed_at = 0.0
        self.eligible: tuple[InstanceId, ...] = (own_id,)
        self.reachable: frozenset[InstanceId] = frozenset()
        self.confirmed_by: InstanceId = own_id
        self.confirmed_at: float | None = None
        self._requests_by_backend: dict[tuple[str, str], int] = {}

    def apply_listed_instances(self, instances: list[Instance], now: float) -> None:
        """Replaces the peers by those of a published list.

        Args:
            instances: All listed instances; this one may be among them.
            now: Current time in seconds.
        """
        known = self.peer_by_id
        self.peer_by_id = {
            instance.id: known.get(instance.id) or Peer(instance.id, instance.zone)
            for instance in instances
            if instance.id != self.own_id
        }
        self.update_liveness(now)

    def handle_heartbeat(self, sender: InstanceId, heartbeat: Heartbeat, now: float) -> bool:
        """Updates a peer from its heartbeat.

        Heartbeats from unlisted instances and older incarnations are ignored.

        Args:
            sender: Instance that sent the heartbeat.
            heartbeat: The heartbeat.
            now: Current time in seconds.

        Returns:
            True if the sender is a new incarnation, which has lost all state
            of the previous one.
        """
        peer = self.peer_by_id.get(sender)
        if peer is None or heartbeat.incarnation < peer.incarnation:
            return False
        is_restarted = heartbeat.incarnation > peer.incarnation
        if is_restarted or heartbeat.list_version != peer.list_version:
            peer.list_version_since = now
        is_unchanged = sender in self.reachable and heartbeat.is_leaving == peer.is_leaving
        peer.incarnation = heartbeat.incarnation
        peer.last_heard_at = now
        peer.list_version = heartbeat.list_version
        peer.records_digest = heartbeat.records_digest
        peer.is_leaving = heartbeat.is_leaving
        self._apply_load(peer, heartbeat.load)
        peer.deputy_for = heartbeat.deputy_for
        if heartbeat.confirmation_age_ms >= 0:
            self.record_confirmation(now - heartbeat.confirmation_age_ms / 1000, sender)
        if is_restarted or not is_unchanged:
            self.update_liveness(now, force=is_restarted)
        return is_restarted

    def record_activity(self, sender: InstanceId, now: float) -> None:
        """Counts a message other than a heartbeat as activity of a reachable peer."""
        if sender in self.reachable:
            self.peer_by_id[sender].last_heard_at = now

    def handle_disconnect(self, sender: InstanceId, now: float) -> None:
        """Shortens the timeout of a peer whose connection closed to the reconnect grace period."""
        peer = self.peer_by_id.get(sender)
        if peer is not None and peer.last_heard_at is not None:
            peer.last_heard_at = min(peer.last_heard_at, now - PEER_TIMEOUT_S + RECONNECT_GRACE_S)

    def declare_lost(self, sender: InstanceId, now: float) -> None:
        """Counts a peer as unreachable until its next heartbeat."""
        peer = self.peer_by_id.get(sender)
        if peer is not None and peer.last_heard_at is not None:
            peer.last_heard_at = None
            self.update_liveness(now)

    def reset_peer_timeouts(self, now: float) -> None:
        """Restarts the timeouts of all peers heard so far, after a pause of this process."""
        for peer in self.peer_by_id.values():
            if peer.last_heard_at is not None:
                peer.last_heard_at = now
        self.update_liveness(now, force=True)

    def update_liveness(self, now: float, force: bool = False) -> None:
        """Recomputes the reachable and the eligible instances.

        Eligible instances are reachable, or this one, and not in a planned
        stop.

        Args:
            now: Current time in seconds.
            force: Whether to record a change of the eligible set even if it
                stayed the same.
        """
        alive = [
            peer for peer in self.peer_by_id.values() if _is_alive(peer, now, self.peer_timeout_s)
        ]
        own = () if self.is_leaving else (self.own_id,)
        eligible = tuple(sorted([*own, *(peer.id for peer in alive if not peer.is_leaving)]))
        self.reachable = frozenset(peer.id for peer in alive)
        self._requests_by_backend = _sum_requests(alive)
        if eligible != self.eligible or force:
            self.eligible = eligible
            self.eligible_changed_at = now

    def witness_host(self, owner: InstanceId) -> InstanceId:
        """Returns the reachable deputy that hosts an owner's witness role, or the owner."""
        for name in sorted(self.reachable):
            if owner in self.peer_by_id[name].deputy_for:
                return name
        return owner

    def requests_elsewhere(self, service: str, backend: str) -> int:
        """Returns the number of requests in progress at a server that reachable peers report."""
        return self._requests_by_backend.get((service, backend), 0)

    @property
    def is_majority_reachable(self) -> bool:
        """Whether a majority of the listed instances, including this one, is reachable."""
        return (len(self.reachable) + 1) * 2 > len(self.peer_by_id) + 1

    def record_confirmation(
        self, confirmed_at: float, confirmed_by: InstanceId | None = None
    ) -> None:
        """Records when the source confirmed that the data in force is current.

        Args:
            confirmed_at: Time of the confirmation in seconds.
            confirmed_by: Peer that passed it on; None if the source was read here.
        """
        if self.confirmed_at is None or confirmed_at > self.confirmed_at:
            self.confirmed_at = confirmed_at
            self.confirmed_by = confirmed_by or self.own_id

    def confirmation_age_s(self, now: float) -> float | None:
        """Returns the time in seconds since the last confirmation, None before the first."""
        if self.confirmed_at is None:
            return None
        return now - self.confirmed_at

    def _apply_load(self, peer: Peer, load: tuple[LoadRow, ...]) -> None:
        """Updates the sums by the change of one peer's load, without summing all peers again."""
        if peer.id in self.reachable:
            totals = self._requests_by_backend
            for row in peer.load:
                totals[row.service, row.backend] -= row.requests
            for row in load:
                backend_key = (row.service, row.backend)
                totals[backend_key] = totals.get(backend_key, 0) + row.requests
        peer.load = load


def _sum_requests(peers: list[Peer]) -> dict[tuple[str, str], int]:
    totals: dict[tuple[str, str], int] = {}
    for peer in peers:
        for row in peer.load:
            backend_key = (row.service, row.backend)
            totals[backend_key] = totals.get(backend_key, 0) + row.requests
    return totals


def _is_alive(peer: Peer, now: float, peer_timeout_s: float) -> bool:
    return peer.last_heard_at is not None and now - peer.last_heard_at < peer_timeout_s
