"""Liveness protocol: heartbeats to all of a small fleet, probes of a few in a large one."""

from berylstair.catalogue import LogEvent
from berylstair.directory_sync import DirectorySync
from berylstair.errors import ErrorKind
from berylstair.fleet import FLEET_HEARTBEAT_INTERVAL_S
from berylstair.ids import Endpoint, InstanceId, is_ip_address
from berylstair.placement_protocol import PlacementProtocol
from berylstair.steering_action import SendMessage
from berylstair.steering_core import SteeringCore
from berylstair.steering_message import FleetHeartbeat, PeerLost

__all__ = ['LivenessProtocol']

# A confirmation older than this is stale: a watch of the source and the heartbeat that
# follows should have renewed it.
STALE_CONFIRMATION_AGE_S = 1.5
# Only a new peer that knows a smaller share of the fleet is sent the names of all members;
# otherwise, when many instances start together, each would send all names to every other.
NEWCOMER_KNOWN_RATIO = 0.25
# Remaining lifetime of the leases of a lost instance. Its flows continue through other
# instances, which report their end.
ORPHANED_LEASE_LIFETIME_S = 0.5


class LivenessProtocol:
    """Sends and handles heartbeats, probes and loss reports."""

    def __init__(
        self, core: SteeringCore, placement: PlacementProtocol, sync: DirectorySync
    ) -> None:
        """Starts with no peer reachable.

        Args:
            core: Provides fleet, directory, leases and actions.
            placement: Reports leases again when the reachable peers change.
            sync: Requests the changes of peers whose directory is newer.
        """
        self._core = core
        self._placement = placement
        self._sync = sync
        self._recovery_probed_at = -FLEET_HEARTBEAT_INTERVAL_S
        self._reachable: frozenset[InstanceId] = frozenset()

    def broadcast_heartbeat(self, now: float) -> None:
        """Sends a heartbeat to all known instances and all seeds."""
        self._core.fleet.refresh(now)
        self._handle_reachability_change(now)
        endpoints = self._core.fleet.all_endpoints()
        asked = self._core.fleet.endpoints_without_round_trip(now)
        self._core.send_heartbeat([target for target in endpoints if target not in asked], now)
        self._core.send_heartbeat(sorted(asked), now, wants_answer=True)

    def send_periodic_heartbeat(self, now: float) -> None:
        """Sends a heartbeat to all of a small fleet; in a large one only updates liveness."""
        if self._core.fleet.is_large:
            self._core.fleet.refresh(now)
            self._handle_reachability_change(now)
        else:
            self.broadcast_heartbeat(now)

    def probe_peers(self, now: float) -> None:
        """Probes a few peers of a large fleet and reports lost ones to all instances."""
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

    def confirm_source(self, confirmed_at: float, now: float) -> None:
        """Records that the source had nothing newer than the directory.

        If the previous confirmation was stale, the others are told at once, so
        that they need not read the source too.

        Args:
            confirmed_at: A time at which the source had nothing newer.
            now: Current time in seconds.
        """
        membership = self._core.fleet.membership
        age_s = membership.confirmation_age_s(now)
        membership.record_confirmation(min(confirmed_at, now))
        if age_s is not None and age_s > STALE_CONFIRMATION_AGE_S:
            self.broadcast_heartbeat(now)

    def handle_heartbeat(self, ip: str, heartbeat: FleetHeartbeat, now: float) -> None:
        """Handles a heartbeat from an IP address."""
        core = self._core
        if not all(is_ip_address(row.ip) for row in heartbeat.members):
            core.counters.record_refusal(ErrorKind.MALFORMED_MESSAGE)
            core.log(LogEvent.MESSAGE_REFUSED, f'peer={ip} member without an IP address')
            return
        sender = InstanceId(heartbeat.instance)
        is_recovered = (
            core.fleet.find_endpoint(sender) is not None
            and sender not in core.fleet.membership.reachable
        )
        new_peers = core.fleet.apply_heartbeat(ip, heartbeat, core.directory, now)
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
            core.send_heartbeat((target,), now, answered=heartbeat)
        named_endpoints = [core.fleet.find_endpoint(peer) for peer in new_peers if peer != sender]
        core.send_heartbeat(
            [endpoint for endpoint in named_endpoints if endpoint], now, wants_answer=True
        )
        if is_recovered and now - self._recovery_probed_at >= FLEET_HEARTBEAT_INTERVAL_S:
            # A partition may have healed, so other unreachable peers may be back as well.
            self._recovery_probed_at = now
            core.send_heartbeat(core.fleet.unreachable_endpoints(), now, wants_answer=True)
        self._sync.request_changes_of(heartbeat, target, now)
        self._handle_reachability_change(now)

    def handle_peer_lost(self, _peer: InstanceId, message: PeerLost, now: float) -> None:
        """Handles a report that an instance is lost; refutes it if it names this process."""
        fleet = self._core.fleet
        if fleet.is_about_this_process(message):
            self.broadcast_heartbeat(now)
        elif fleet.apply_peer_lost(message, now):
            targets = fleet.choose_zone_probes(InstanceId(message.instance), now)
            self._core.send_heartbeat(targets, now, wants_answer=True)
        self._handle_reachability_change(now)

    def _send_introduction(self, target: Endpoint, heartbeat: FleetHeartbeat, now: float) -> None:
        """Answers a new peer; one that knows few instances is sent the names of all."""
        core = self._core
        answer = core.fleet.make_heartbeat(core.directory, now, answered=heartbeat)
        messages = [answer]
        if heartbeat.known_instance_count < answer.known_instance_count * NEWCOMER_KNOWN_RATIO:
            messages = core.fleet.make_membership_heartbeats(core.directory, now, heartbeat)
        core.actions.extend(SendMessage(target, message) for message in messages)

    def _handle_reachability_change(self, now: float) -> None:
        """Logs lost peers, shortens their leases and reports the leases held here again.

        Does nothing unless the set of reachable peers has changed.
        """
        reachable = self._core.fleet.membership.reachable
        if reachable == self._reachable:
            return
        for lost_peer in sorted(self._reachable - reachable):
            self._core.log(LogEvent.PEER_LOST, f'peer={lost_peer}')
            self._core.assigner.handle_holder_lost(lost_peer, now + ORPHANED_LEASE_LIFETIME_S)
        self._reachable = reachable
        self._placement.send_lease_reports(now)
