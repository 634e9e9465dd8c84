"""The other instances of the fleet, discovered through seeds and monitored by heartbeats."""

import math
from collections.abc import Iterable
from random import Random

from berylstair.clock_bounds import ClockBounds
from berylstair.directory import Directory
from berylstair.dispatcher_ranking import DispatcherRanking
from berylstair.heartbeat import Heartbeat
from berylstair.ids import Endpoint, InstanceId, ServiceName, ZoneId
from berylstair.membership import HEARTBEAT_INTERVAL_S, PEER_TIMEOUT_S, Membership
from berylstair.probing import ProbeScheduler
from berylstair.record import Instance
from berylstair.rendezvous import rank
from berylstair.steering_message import UNCONFIRMED_MS, FleetHeartbeat, MemberRow, PeerLost
from berylstair.steering_settings import SteeringSettings

__all__ = ['FLEET_HEARTBEAT_INTERVAL_S', 'Fleet']

FLEET_HEARTBEAT_INTERVAL_S = HEARTBEAT_INTERVAL_S
# An instance that is not heard from for this long is forgotten and no longer probed.
MEMBER_RETENTION_S = 60.0
# Members named in each heartbeat; a new peer that knows few instances is sent all of them.
MEMBERS_PER_HEARTBEAT = 1
# With at most this many peers, every instance sends heartbeats to all others; in larger
# fleets each instance probes a few.
BROADCAST_MAX_PEERS = 16
# Once a peer is lost, at most this many instances of its zone are probed at the same
# time; further losses within the interval cause no such probes.
MAX_ZONE_PROBES = 16
ZONE_PROBE_MIN_INTERVAL_S = 1.0
# Members named in one datagram to a new peer; each takes about 40 bytes.
MEMBERS_PER_DATAGRAM = 25
# A report that a peer is lost is ignored if the peer was heard from within this time,
# which is shorter than the time that it takes to detect a loss.
RECENTLY_HEARD_S = 0.5
MS_PER_S = 1000
# Confirmation age of a heartbeat that states none.
NO_CONFIRMATION_AGE_MS = -1
# In a small fleet, each peer is asked for an answer at this interval, which keeps the bound
# of its clock within 2 ms of the tightest one.
ROUND_TRIP_INTERVAL_S = 10.0
SOURCE_READER_COUNT = 1
_SOURCE_READER_HASH_KEY = b'directory-readers'


class Fleet:
    """Members of the fleet: who is alive, who dispatches, which zones are reachable.

    Attributes:
        zone_by_member: Zones of this instance and of all that were known in the last
            minute. A change of the members replaces it, so that its identity tells them.
        unknown_seeds: Seeds at which no instance is known.
    """

    def __init__(self, settings: SteeringSettings, incarnation: int, rng: Random) -> None:
        """Starts without members; peers are found through the seeds.

        Args:
            settings: Identity, capacity and seeds of this instance.
            incarnation: Start time of this process in ms since 1970.
            rng: Chooses the peers to probe and the members named in heartbeats.
        """
        self._settings = settings
        self._incarnation = incarnation
        self._rng = rng
        self.membership = Membership(settings.instance, settings.zone)
        self._instance_by_id: dict[InstanceId, Instance] = {}
        self._id_by_ip: dict[str, InstanceId] = {}
        self._incarnation_by_id: dict[InstanceId, int] = {}
        self._start_count_by_id: dict[InstanceId, int] = {}
        self._last_seen_by_id: dict[InstanceId, float] = {}
        self.dispatcher_ranking = DispatcherRanking(
            settings.instance, settings.capacity.placements_per_s
        )
        self._seen_zones: set[ZoneId] = set()
        self._probing = ProbeScheduler(rng)
        self._clock_bounds = ClockBounds()
        self._zone_probed_at = -math.inf
        self._zones_cached_for: frozenset[InstanceId] = frozenset()
        self._cached_zones: frozenset[ZoneId] = frozenset()
        self.zone_by_member: dict[InstanceId, ZoneId] = {}
        self.unknown_seeds: set[Endpoint] = set()
        self._update_known_members()

    @property
    def own_id(self) -> InstanceId:
        """Id of this instance."""
        return self._settings.instance

    @property
    def is_large(self) -> bool:
        """Whether the fleet is too large for heartbeats to all, so that a few peers are probed."""
        return len(self._instance_by_id) > BROADCAST_MAX_PEERS

    def apply_settings(self, settings: SteeringSettings) -> None:
        """Applies changed seeds."""
        self._settings = settings
        self._update_known_members()

    def record_activity(self, peer: InstanceId, now: float) -> None:
        """Counts any message from a peer as a sign that it is alive."""
        self._probing.clear_pending(peer)
        self.membership.record_activity(peer, now)

    def find_peer_by_ip(self, ip: str) -> InstanceId | None:
        """Returns the instance at an IP address, None if none is known."""
        return self._id_by_ip.get(ip)

    def find_endpoint(self, peer: InstanceId) -> Endpoint | None:
        """Returns the endpoint where a peer receives datagrams, None if it is unknown."""
        instance = self._instance_by_id.get(peer)
        return instance.forward if instance else None

    def all_endpoints(self) -> list[Endpoint]:
        """Returns the endpoints of all known instances and all seeds, except this one."""
        known = {member.forward for member in self._instance_by_id.values()}
        return sorted((known | set(self._settings.seeds)) - {self._settings.peer_endpoint})

    def sample_reachable_endpoints(self, count: int) -> list[Endpoint]:
        """Returns the endpoints of up to ``count`` randomly chosen peers that are alive."""
        alive = sorted(self.membership.reachable)
        chosen = self._rng.sample(alive, min(count, len(alive)))
        return [self._instance_by_id[peer].forward for peer in chosen]

    def unreachable_endpoints(self) -> list[Endpoint]:
        """Returns the last known endpoints of the instances that are not reachable."""
        reachable = self.membership.reachable
        return [
            member.forward for member in self._instance_by_id.values() if member.id not in reachable
        ]

    def advance_probing(self, now: float) -> tuple[list[Endpoint], list[InstanceId]]:
        """Declares peers lost that left their probes unanswered and chooses the next probes.

        Besides the peers of the round, one unreachable member and all seeds that
        belong to no known instance are probed.

        Args:
            now: Current time in seconds.

        Returns:
            Endpoints to probe, and the peers that are newly declared lost.
        """
        overdue = self._probing.collect_overdue()
        lost = [peer for peer in overdue.lost if self._declare_lost(peer, now)]
        peers_to_probe = {*overdue.retry, *self._probing.next_targets(self.membership.reachable)}
        targets = {
            self._instance_by_id[peer].forward
            for peer in peers_to_probe
            if peer in self._instance_by_id
        }
        unreachable = self.unreachable_endpoints()
        if unreachable:
            targets.add(self._rng.choice(unreachable))
        return sorted(targets | self.unknown_seeds), lost

    def choose_zone_probes(self, peer: InstanceId, now: float) -> list[Endpoint]:
        """Chooses peers to probe in the zone of a lost one, since the zone may be cut off.

        Args:
            peer: The lost peer.
            now: Current time in seconds.

        Returns:
            Endpoints to probe; empty if the peer is unknown or if a zone was probed
            less than ``ZONE_PROBE_MIN_INTERVAL_S`` ago.
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
        """Returns the message that reports a lost peer."""
        return PeerLost(peer, self._incarnation_by_id.get(peer, 0))

    def apply_peer_lost(self, message: PeerLost, now: float) -> bool:
        """Applies a report from another instance that a peer is lost.

        Args:
            message: The report.
            now: Current time in seconds.

        Returns:
            Whether the peer counted as reachable here until now.
        """
        suspect = InstanceId(message.instance)
        peer = self.membership.peer_by_id.get(suspect)
        heard_at = peer.last_heard_at if peer else None
        is_recently_heard = heard_at is not None and now - heard_at < RECENTLY_HEARD_S
        is_same_incarnation = message.incarnation == self._incarnation_by_id.get(suspect)
        return is_same_incarnation and not is_recently_heard and self._declare_lost(suspect, now)

    def is_about_this_process(self, message: PeerLost) -> bool:
        """Returns whether a report declares this process lost."""
        return message.instance == self.own_id and message.incarnation == self._incarnation

    def endpoints_without_round_trip(self, now: float) -> set[Endpoint]:
        """Returns the endpoints of reachable peers that have not answered recently.

        A large fleet probes some peers all the time, so there are none.
        """
        if self.is_large:
            return set()
        since = now - ROUND_TRIP_INTERVAL_S
        return {
            self._instance_by_id[peer].forward
            for peer in self.membership.reachable
            if not self._clock_bounds.has_recent(peer, since)
        }

    def make_heartbeat(
        self,
        directory: Directory,
        now: float,
        wants_answer: bool = False,
        answered: FleetHeartbeat | None = None,
    ) -> FleetHeartbeat:
        """Returns a heartbeat.

        Args:
            directory: The local directory.
            now: Current time in seconds.
            wants_answer: Whether the receiver must answer, as to a probe.
            answered: The receiver's heartbeat that this one answers, if any.
        """
        members = list(self._instance_by_id.values())
        if len(members) > MEMBERS_PER_HEARTBEAT:
            members = self._rng.sample(members, MEMBERS_PER_HEARTBEAT)
        heartbeat = self._build_heartbeat(directory, now, members)
        answered_ms = answered.sent_at_ms if answered else 0
        return heartbeat._replace(wants_answer=wants_answer, answered_ms=answered_ms)

    def make_membership_heartbeats(
        self, directory: Directory, now: float, answered: FleetHeartbeat
    ) -> list[FleetHeartbeat]:
        """Returns heartbeats that together name all members, to answer that of a new peer."""
        members = list(self._instance_by_id.values())
        return [
            self._build_heartbeat(
                directory, now, members[start : start + MEMBERS_PER_DATAGRAM]
            )._replace(answered_ms=answered.sent_at_ms)
            for start in range(0, len(members), MEMBERS_PER_DATAGRAM)
        ]

    def apply_heartbeat(
        self, ip: str, message: FleetHeartbeat, directory: Directory, now: float
    ) -> list[InstanceId]:
        """Applies a heartbeat.

        Args:
            ip: IP address of the sender.
            message: The heartbeat.
            directory: The local directory.
            now: Current time in seconds.

        Returns:
            Instances that do not know this one yet: the sender if it is new or
            has restarted, and members that no earlier heartbeat has named.
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
        heartbeat = Heartbeat(
            self._count_starts(sender, message.incarnation),
            b'',
            0,
            NO_CONFIRMATION_AGE_MS,
            message.is_leaving,
            (),
            (),
        )
        self._apply_confirmation(sender, message, directory, now)
        if self.membership.handle_heartbeat(sender, heartbeat, now) and sender not in new_peers:
            new_peers.append(sender)
        return new_peers

    def refresh(self, now: float) -> None:
        """Updates which members are alive and forgets those that were silent for long."""
        reachable = self.membership.reachable
        expired = [
            peer
            for peer, last_seen_at in self._last_seen_by_id.items()
            if now - last_seen_at > MEMBER_RETENTION_S and peer not in reachable
        ]
        for peer in expired:
            instance = self._instance_by_id.pop(peer)
            self._last_seen_by_id.pop(peer)
            self._clock_bounds.forget(peer)
            if self._id_by_ip.get(instance.forward.ip) == peer:
                self._id_by_ip.pop(instance.forward.ip)
        if expired:
            self._update_membership(now)
        self.membership.update_liveness(now)

    def find_dispatcher(self, service: ServiceName, now: float) -> InstanceId:
        """Returns the instance that dispatches for a service in the view of this instance."""
        return self.dispatcher_ranking.first_available(service, self.membership.eligible, now)

    def rank_dispatchers(self, service: ServiceName) -> list[InstanceId]:
        """Returns the instances alive by their rank for a service, silent ones included."""
        return self.dispatcher_ranking.ranking(service, self.membership.eligible)

    def is_zone_reachable(self, zone: ZoneId) -> bool:
        """Returns whether the servers of a zone can probably be reached.

        A zone counts as cut off if this instance has heard from some of its
        instances before and reaches none of them now. An instance that reaches no
        peer at all is itself isolated, so it draws no conclusion about any zone.
        """
        reachable_zones = self._reachable_zones()
        if zone == self._settings.zone or not reachable_zones:
            return True
        return zone in reachable_zones or zone not in self._seen_zones

    def is_source_reader(self) -> bool:
        """Returns whether this instance is the one that keeps a watch on the source open."""
        eligible = self.membership.eligible
        return self.own_id in choose_source_readers(eligible)

    def _apply_confirmation(
        self, sender: InstanceId, message: FleetHeartbeat, directory: Directory, now: float
    ) -> None:
        """Applies a confirmation that a peer passes on, unless its directory is newer.

        It counts from the time at which the source was read, however late the
        message arrives and however many instances have passed it on. If the source
        had not reached the position held here then, one of the two is false, and the
        source has to be read here.
        """
        bounds = self._clock_bounds
        incarnation = message.incarnation
        if message.answered_ms > 0:
            sent_at, answered_at = message.answered_ms / MS_PER_S, message.sent_at_ms / MS_PER_S
            bounds.record_round_trip(sender, incarnation, sent_at, answered_at, now)
        bounds.record_message(sender, incarnation, message.sent_at_ms / MS_PER_S, now)
        if message.position > directory.position or message.confirmed_at_ms <= UNCONFIRMED_MS:
            return
        peer_time = min(message.confirmed_at_ms, message.sent_at_ms) / MS_PER_S
        confirmed_at = bounds.to_own_time(sender, incarnation, peer_time, now)
        if confirmed_at is None:
            return
        is_contradicted = (
            message.position < directory.position and confirmed_at > directory.advanced_at
        )
        if not is_contradicted:
            self.membership.record_confirmation(confirmed_at, sender)

    def _build_heartbeat(
        self, directory: Directory, now: float, members: list[Instance]
    ) -> FleetHeartbeat:
        confirmed_at = self.membership.confirmed_at
        return FleetHeartbeat(
            self.own_id,
            self._settings.zone,
            self._incarnation,
            *directory.position,
            directory.configuration_version,
            round(now * MS_PER_S),
            UNCONFIRMED_MS if confirmed_at is None else math.floor(confirmed_at * MS_PER_S),
            0,
            self.membership.is_leaving,
            self._settings.capacity.placements_per_s,
            len(self._instance_by_id),
            False,
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
        """Returns how many incarnations of a peer were seen.

        Unlike the incarnation itself, the count always rises with a restart, even
        if the clock of the peer was set back in between.
        """
        if self._incarnation_by_id.get(peer) != incarnation:
            self._incarnation_by_id[peer] = incarnation
            self._start_count_by_id[peer] = self._start_count_by_id.get(peer, 0) + 1
        return self._start_count_by_id[peer]

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
        """Passes the known members to the membership.

        A large fleet sends no regular heartbeats, so silence alone is no sign of
        a loss there and the peer timeout is off.
        """
        membership = self.membership
        peer_timeout_s = math.inf if self.is_large else PEER_TIMEOUT_S
        if peer_timeout_s < membership.peer_timeout_s:
            membership.reset_peer_timeouts(now)
        membership.peer_timeout_s = peer_timeout_s
        membership.apply_listed_instances(list(self._instance_by_id.values()), now)
        self._update_known_members()

    def _update_known_members(self) -> None:
        own_zone = {self.own_id: self._settings.zone}
        members = self._instance_by_id.values()
        self.zone_by_member = own_zone | {member.id: member.zone for member in members}
        known = {member.forward for member in members} | {self._settings.peer_endpoint}
        self.unknown_seeds = set(self._settings.seeds) - known

    def _declare_lost(self, peer: InstanceId, now: float) -> bool:
        """Declares a peer lost; returns whether it was reachable until now."""
        was_reachable = peer in self.membership.reachable
        self._probing.clear_pending(peer)
        self.membership.declare_lost(peer, now)
        return was_reachable


def choose_source_readers(instances: Iterable[InstanceId]) -> list[str]:
    """Returns those of the given instances that watch the source."""
    return rank(_SOURCE_READER_HASH_KEY, instances, SOURCE_READER_COUNT)
