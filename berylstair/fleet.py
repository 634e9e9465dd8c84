"""The other instances: found through seeds, heard through beacons."""

import math
from collections.abc import Iterable
from random import Random

from berylstair.dispatcher_ranking import DispatcherRanking
from berylstair.heartbeat import Heartbeat
from berylstair.ids import Endpoint, InstanceId, ServiceName, ZoneId
from berylstair.membership import HEARTBEAT_INTERVAL_S, PEER_TIMEOUT_S, Membership
from berylstair.probing import ProbeScheduler
from berylstair.record import Instance
from berylstair.rendezvous import rank
from berylstair.steering_message import FleetHeartbeat, MemberRow, PeerLost
from berylstair.steering_settings import SteeringSettings

__all__ = ['FLEET_HEARTBEAT_INTERVAL_S', 'Fleet']

FLEET_HEARTBEAT_INTERVAL_S = HEARTBEAT_INTERVAL_S
# An instance that is not heard for so long is not looked for any more.
MEMBER_RETENTION_S = 60.0
# Members named in each beacon; all of them to a newcomer.
MEMBERS_PER_HEARTBEAT = 1
# Up to so many peers everybody tells everybody; in larger fleets a few are asked.
BROADCAST_MAX_PEERS = 16
# Instances in a lost one's zone that are asked at once, and for how long not again.
MAX_ZONE_PROBES = 16
ZONE_PROBE_MIN_INTERVAL_S = 1.0
# Members in one datagram to a newcomer, some 40 bytes each.
MEMBERS_PER_DATAGRAM = 25
# A peer that was heard so lately is not lost, whatever another instance says; less
# than the time that it takes to find somebody lost.
RECENTLY_HEARD_S = 0.5
MS_PER_S = 1000
# Age that stands for a view that nobody has confirmed.
UNCONFIRMED_AGE_MS = 86_400_000
SOURCE_READERS = 1
_SOURCE_READER_HASH_KEY = b'directory-readers'


class Fleet:
    """Who is alive, who dispatches for a service, which zones are reached."""

    def __init__(self, settings: SteeringSettings, incarnation: int, rng: Random) -> None:
        """Knows nobody but the seeds.

        Args:
            settings: Own identity and seeds.
            incarnation: Start of this process in ms since 1970.
            rng: Spreads the members named in beacons.
        """
        self._settings = settings
        self._incarnation = incarnation
        self._rng = rng
        self.membership = Membership(settings.instance, settings.zone)
        self._instance_by_id: dict[InstanceId, Instance] = {}
        self._id_by_ip: dict[str, InstanceId] = {}
        self._incarnation_by_id: dict[InstanceId, int] = {}
        self._start_counts_by_id: dict[InstanceId, int] = {}
        self._last_seen_by_id: dict[InstanceId, float] = {}
        self.dispatcher_ranking = DispatcherRanking(
            settings.instance, settings.capacity.placements_per_s
        )
        self._seen_zones: set[ZoneId] = set()
        self._probing = ProbeScheduler(rng)
        self._zone_probed_at = -math.inf
        self._zones_cached_for: frozenset[InstanceId] = frozenset()
        self._cached_zones: frozenset[ZoneId] = frozenset()

    @property
    def own_id(self) -> InstanceId:
        """Id of this instance."""
        return self._settings.instance

    @property
    def is_large(self) -> bool:
        """Whether only a few peers are asked for signs of life a period."""
        return len(self._instance_by_id) > BROADCAST_MAX_PEERS

    def apply_settings(self, settings: SteeringSettings) -> None:
        """Takes over changed seeds."""
        self._settings = settings

    def record_activity(self, peer: InstanceId, now: float) -> None:
        """Takes any message as a sign of life."""
        self._probing.clear_pending(peer)
        self.membership.record_activity(peer, now)

    def find_peer_by_ip(self, ip: str) -> InstanceId | None:
        """Returns the instance at an address, None where none is known."""
        return self._id_by_ip.get(ip)

    def find_endpoint(self, peer: InstanceId) -> Endpoint | None:
        """Returns where a peer takes datagrams."""
        instance = self._instance_by_id.get(peer)
        return instance.forward if instance else None

    def all_endpoints(self) -> list[Endpoint]:
        """Returns where what concerns everybody goes: all known instances and all seeds."""
        known = {member.forward for member in self._instance_by_id.values()}
        return sorted((known | set(self._settings.seeds)) - {self._settings.peer_endpoint})

    def sample_reachable_endpoints(self, count: int) -> list[Endpoint]:
        """Returns where to find some of the peers that are alive, at random."""
        alive = sorted(self.membership.reachable)
        chosen = self._rng.sample(alive, min(count, len(alive)))
        return [self._instance_by_id[peer].forward for peer in chosen]

    def unreachable_endpoints(self) -> list[Endpoint]:
        """Returns where the known instances were that are not heard."""
        reachable = self.membership.reachable
        return [
            member.forward for member in self._instance_by_id.values() if member.id not in reachable
        ]

    def advance_probing(self, now: float) -> tuple[list[Endpoint], list[InstanceId]]:
        """Chooses whom to ask for a sign of life in this period.

        Args:
            now: Current time in seconds.

        Returns:
            Whom to ask, and who is found lost.
        """
        overdue = self._probing.collect_overdue()
        lost = [peer for peer in overdue.lost if self._declare_lost(peer, now)]
        asked = {*overdue.retry, *self._probing.next_targets(self.membership.reachable)}
        targets = {
            self._instance_by_id[peer].forward for peer in asked if peer in self._instance_by_id
        }
        missing = self.unreachable_endpoints()
        if missing:
            targets.add(self._rng.choice(missing))
        known = {member.forward for member in self._instance_by_id.values()}
        unknown_seeds = set(self._settings.seeds) - known - {self._settings.peer_endpoint}
        return sorted(targets | unknown_seeds), lost

    def choose_zone_probes(self, peer: InstanceId, now: float) -> list[Endpoint]:
        """Chooses peers in the zone of a lost one to ask: the zone may be cut off.

        Args:
            peer: Who is lost.
            now: Current time in seconds.

        Returns:
            Where to find them; nobody where a zone was asked a short while ago.
        """
        lost = self._instance_by_id.get(peer)
        if lost is None or now - self._zone_probed_at < ZONE_PROBE_MIN_INTERVAL_S:
            return []
        self._zone_probed_at = now
        members = [self._instance_by_id[name] for name in sorted(self.membership.reachable)]
        zone_peers = [member for member in members if member.zone == lost.zone]
        chosen = self._rng.sample(zone_peers, min(MAX_ZONE_PROBES, len(zone_peers)))
        self._probing.record_probes(member.id for member in chosen)
        return [member.forward for member in chosen]

    def make_peer_lost_message(self, peer: InstanceId) -> PeerLost:
        """Makes what is told of a lost peer."""
        return PeerLost(peer, self._incarnation_by_id.get(peer, 0))

    def apply_peer_lost(self, message: PeerLost, now: float) -> bool:
        """Takes what another instance tells of a lost one.

        Args:
            message: What it tells.
            now: Current time in seconds.

        Returns:
            True where the lost one was believed to be alive.
        """
        suspect = InstanceId(message.instance)
        peer = self.membership.peer_by_id.get(suspect)
        heard_at = peer.last_heard_at if peer else None
        is_recently_heard = heard_at is not None and now - heard_at < RECENTLY_HEARD_S
        is_same_incarnation = message.incarnation == self._incarnation_by_id.get(suspect)
        return is_same_incarnation and not is_recently_heard and self._declare_lost(suspect, now)

    def is_about_this_process(self, message: PeerLost) -> bool:
        """Tells whether it is this process that is called lost."""
        return message.instance == self.own_id and message.incarnation == self._incarnation

    def make_heartbeat(
        self, revision: int, now: float, wants_answer: bool = False
    ) -> FleetHeartbeat:
        """Makes a beacon.

        Args:
            revision: Revision of the own directory.
            now: Current time in seconds.
            wants_answer: Whether an answer is waited for.
        """
        members = list(self._instance_by_id.values())
        if len(members) > MEMBERS_PER_HEARTBEAT:
            members = self._rng.sample(members, MEMBERS_PER_HEARTBEAT)
        return self._build_heartbeat(revision, now, members, wants_answer)

    def make_membership_heartbeats(self, revision: int, now: float) -> list[FleetHeartbeat]:
        """Makes the beacons that name all members, for a newcomer."""
        members = list(self._instance_by_id.values())
        return [
            self._build_heartbeat(revision, now, members[at : at + MEMBERS_PER_DATAGRAM], False)
            for at in range(0, len(members), MEMBERS_PER_DATAGRAM)
        ]

    def apply_heartbeat(
        self, ip: str, message: FleetHeartbeat, revision: int, now: float
    ) -> list[InstanceId]:
        """Takes a sign of life.

        Args:
            ip: Its sender's address.
            beacon: The message.
            revision: Revision of the own directory.
            now: Current time in seconds.

        Returns:
            Instances that do not know of this one yet: the sender where it is
            new or has started anew, and those that only it has named so far.
        """
        sender = InstanceId(message.instance)
        if sender == self.own_id:
            return []
        new_peers = [] if sender in self._instance_by_id else [sender]
        self._add_member(sender, ZoneId(message.zone), ip, now)
        for row in message.members:
            if row.instance not in self._instance_by_id and row.instance != self.own_id:
                self._add_member(InstanceId(row.instance), ZoneId(row.zone), row.ip, now)
                new_peers.append(InstanceId(row.instance))
        self.dispatcher_ranking.record_capacity(sender, message.placements_per_s)
        self._last_seen_by_id[sender] = now
        self._probing.clear_pending(sender)
        self._seen_zones.add(ZoneId(message.zone))
        is_behind = message.revision > revision
        heartbeat = Heartbeat(
            self._count_starts(sender, message.incarnation),
            b'',
            0,
            UNCONFIRMED_AGE_MS if is_behind else message.confirmation_age_ms,
            message.is_leaving,
            (),
            (),
        )
        if self.membership.handle_heartbeat(sender, heartbeat, now) and sender not in new_peers:
            new_peers.append(sender)
        return new_peers

    def refresh(self, now: float) -> None:
        """Finds out who is alive now and forgets who has long been silent."""
        reachable = self.membership.reachable
        expired = [
            peer
            for peer, at in self._last_seen_by_id.items()
            if now - at > MEMBER_RETENTION_S and peer not in reachable
        ]
        for peer in expired:
            instance = self._instance_by_id.pop(peer)
            self._last_seen_by_id.pop(peer)
            if self._id_by_ip.get(instance.forward.ip) == peer:
                self._id_by_ip.pop(instance.forward.ip)
        if expired:
            self._update_membership(now)
        self.membership.update_liveness(now)

    def find_dispatcher(self, service: ServiceName, now: float) -> InstanceId:
        """Returns the instance that dispatches for a service, as seen here."""
        return self.dispatcher_ranking.first_available(service, self.membership.eligible, now)

    def is_zone_reachable(self, zone: ZoneId) -> bool:
        """Tells whether servers of a zone can probably be reached.

        A zone counts as cut off while none of its instances, of which some
        were heard before, is heard any more. One who hears nobody at all is
        cut off alone and tells nothing of any zone.
        """
        reachable_zones = self._reachable_zones()
        if zone == self._settings.zone or not reachable_zones:
            return True
        return zone in reachable_zones or zone not in self._seen_zones

    def is_source_reader(self) -> bool:
        """Tells whether this instance keeps a watch on the source open."""
        eligible = self.membership.eligible
        return self.own_id in choose_source_readers(eligible)

    def _build_heartbeat(
        self, revision: int, now: float, members: list[Instance], wants_answer: bool
    ) -> FleetHeartbeat:
        age_s = self.membership.confirmation_age_s(now)
        confirmed_ms = UNCONFIRMED_AGE_MS if age_s is None else round(age_s * MS_PER_S)
        return FleetHeartbeat(
            self.own_id,
            self._settings.zone,
            self._incarnation,
            revision,
            confirmed_ms,
            self.membership.is_leaving,
            self._settings.capacity.placements_per_s,
            len(self._instance_by_id),
            wants_answer,
            tuple(MemberRow(member.id, member.zone, member.forward.ip) for member in members),
        )

    def _reachable_zones(self) -> frozenset[ZoneId]:
        reachable = self.membership.reachable
        if reachable is not self._zones_cached_for:
            self._zones_cached_for = reachable
            peers = self.membership.peer_by_id
            self._cached_zones = frozenset(peers[name].zone for name in reachable)
        return self._cached_zones

    def _count_starts(self, peer: InstanceId, incarnation: int) -> int:
        """Numbers a peer's starts as seen here; its clock may have gone back between two."""
        if self._incarnation_by_id.get(peer) != incarnation:
            self._incarnation_by_id[peer] = incarnation
            self._start_counts_by_id[peer] = self._start_counts_by_id.get(peer, 0) + 1
        return self._start_counts_by_id[peer]

    def _add_member(self, peer: InstanceId, zone: ZoneId, ip: str, now: float) -> None:
        existing = self._instance_by_id.get(peer)
        if existing is not None and existing.forward.ip == ip:
            return
        endpoint = Endpoint(ip, self._settings.peer_endpoint.port)
        self._instance_by_id[peer] = Instance(peer, zone, endpoint, endpoint, endpoint)
        self._id_by_ip[ip] = peer
        self._last_seen_by_id.setdefault(peer, now)
        self._update_membership(now)

    def _update_membership(self, now: float) -> None:
        """Follows the members; in a large fleet silence alone tells nothing."""
        membership = self.membership
        dead_after_s = math.inf if self.is_large else PEER_TIMEOUT_S
        if dead_after_s < membership.peer_timeout_s:
            membership.reset_peer_timeouts(now)
        membership.peer_timeout_s = dead_after_s
        membership.apply_listed_instances(list(self._instance_by_id.values()), now)

    def _declare_lost(self, peer: InstanceId, now: float) -> bool:
        """Counts a peer as lost; returns whether it was not before."""
        was_reachable = peer in self.membership.reachable
        self._probing.clear_pending(peer)
        self.membership.declare_lost(peer, now)
        return was_reachable


def choose_source_readers(instances: Iterable[InstanceId]) -> list[str]:
    """Returns the instances that watch the source, of those given."""
    return rank(_SOURCE_READER_HASH_KEY, instances, SOURCE_READERS)
