"""Signs of life between the instances: told to all of a small fleet, asked of some."""

from berylstair.catalogue import LogEvent
from berylstair.directory_sync import DirectorySync
from berylstair.dispatching import PlacementProtocol
from berylstair.fleet import FLEET_HEARTBEAT_INTERVAL_S
from berylstair.ids import Endpoint, InstanceId
from berylstair.steering_action import SendMessage
from berylstair.steering_core import SteeringCore
from berylstair.steering_message import FleetHeartbeat, PeerLost

__all__ = ['LivenessProtocol']

# Age of a confirmation that a watch and a beacon later should have renewed.
STALE_CONFIRMATION_AGE_S = 1.5
# A newcomer that knows a smaller share of the fleet is told of all; otherwise, when
# many start together, each would be told of all by each.
NEWCOMER_KNOWN_RATIO = 0.25
# Leases of an instance that is gone end soon: its flows go on elsewhere, and
# their ends are reported there.
ORPHANED_LEASE_LIFETIME_S = 0.5


class LivenessProtocol:
    """Sends and takes beacons, and acts on instances that come and go."""

    def __init__(
        self, core: SteeringCore, dispatching: PlacementProtocol, sync: DirectorySync
    ) -> None:
        """Starts with nobody heard."""
        self._core = core
        self._dispatching = dispatching
        self._sync = sync
        self._recovery_probed_at = -FLEET_HEARTBEAT_INTERVAL_S
        self._reachable: frozenset[InstanceId] = frozenset()

    def broadcast_heartbeat(self, now: float) -> None:
        """Sends a beacon to everyone."""
        self._core.fleet.refresh(now)
        self._handle_reachability_change(now)
        self._core.send_heartbeat(self._core.fleet.all_endpoints(), now)

    def send_periodic_heartbeat(self, now: float) -> None:
        """Tells everyone of a small fleet that this instance lives."""
        if self._core.fleet.is_large:
            self._core.fleet.refresh(now)
            self._handle_reachability_change(now)
        else:
            self.broadcast_heartbeat(now)

    def probe_peers(self, now: float) -> None:
        """Asks a few peers of a large fleet, and tells all who is lost."""
        core = self._core
        if not core.fleet.is_large:
            return
        targets, lost = core.fleet.advance_probing(now)
        core.send_heartbeat(targets, now, wants_answer=True)
        for peer in lost:
            message = core.fleet.make_peer_lost_message(peer)
            core.actions.extend(
                SendMessage(target, message) for target in core.fleet.all_endpoints()
            )
            core.send_heartbeat(core.fleet.choose_zone_probes(peer, now), now, wants_answer=True)
        self._handle_reachability_change(now)

    def confirm_source(self, now: float) -> None:
        """Notes that the source showed nothing newer.

        Where that was in doubt, the others hear of it before they ask too.
        """
        membership = self._core.fleet.membership
        age_s = membership.confirmation_age_s(now)
        membership.record_confirmation(now)
        if age_s is not None and age_s > STALE_CONFIRMATION_AGE_S:
            self.broadcast_heartbeat(now)

    def handle_heartbeat(self, ip: str, heartbeat: FleetHeartbeat, now: float) -> None:
        """Takes a beacon from an address."""
        core = self._core
        sender = InstanceId(heartbeat.instance)
        is_recovered = (
            core.fleet.find_endpoint(sender) is not None
            and sender not in core.fleet.membership.reachable
        )
        new_peers = core.fleet.apply_heartbeat(ip, heartbeat, core.directory.revision, now)
        target = core.fleet.find_endpoint(sender)
        if target is None:
            return
        if sender in new_peers:
            core.log(
                LogEvent.PEER_ALIVE,
                f'peer={sender} zone={heartbeat.zone} incarnation={heartbeat.incarnation}',
            )
            self._send_introduction(target, heartbeat, now)
        elif heartbeat.wants_answer:
            core.send_heartbeat((target,), now)
        named_endpoints = [core.fleet.find_endpoint(peer) for peer in new_peers if peer != sender]
        core.send_heartbeat([found for found in named_endpoints if found], now, wants_answer=True)
        if is_recovered and now - self._recovery_probed_at >= FLEET_HEARTBEAT_INTERVAL_S:
            # A cut may be over: the other lost ones may be back as well.
            self._recovery_probed_at = now
            core.send_heartbeat(core.fleet.unreachable_endpoints(), now, wants_answer=True)
        if heartbeat.revision > core.directory.revision:
            self._sync.request_changes(target, now)
        self._handle_reachability_change(now)

    def handle_peer_lost(self, _peer: InstanceId, message: PeerLost, now: float) -> None:
        """Takes what a peer tells of a lost one, which may be this instance."""
        fleet = self._core.fleet
        if fleet.is_about_this_process(message):
            self.broadcast_heartbeat(now)
        elif fleet.apply_peer_lost(message, now):
            targets = fleet.choose_zone_probes(InstanceId(message.instance), now)
            self._core.send_heartbeat(targets, now, wants_answer=True)
        self._handle_reachability_change(now)

    def _send_introduction(self, target: Endpoint, heartbeat: FleetHeartbeat, now: float) -> None:
        """Answers a newcomer; one that knows few instances is told of all."""
        core = self._core
        answer = core.fleet.make_heartbeat(core.directory.revision, now)
        messages = [answer]
        if heartbeat.known_instance_count < answer.known_instance_count * NEWCOMER_KNOWN_RATIO:
            messages = core.fleet.make_membership_heartbeats(core.directory.revision, now)
        core.actions.extend(SendMessage(target, message) for message in messages)

    def _handle_reachability_change(self, now: float) -> None:
        """Acts on instances that came or went."""
        reachable = self._core.fleet.membership.reachable
        if reachable == self._reachable:
            return
        for lost_peer in sorted(self._reachable - reachable):
            self._core.log(LogEvent.PEER_LOST, f'peer={lost_peer}')
            self._core.assigner.handle_holder_lost(lost_peer, now + ORPHANED_LEASE_LIFETIME_S)
        self._reachable = reachable
        self._dispatching.send_lease_reports(now)
