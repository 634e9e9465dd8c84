"""The decision core of an entry instance: events in, actions out."""

from collections.abc import Callable, Mapping
from dataclasses import dataclass
from random import Random
from typing import Any

from berylstair.action import Action, DiscardPendingDatagrams
from berylstair.catalogue import LogEvent
from berylstair.claim import WitnessPlacement
from berylstair.claimant import Claimant, ClaimResponder
from berylstair.core import Core, CoreSettings
from berylstair.counter import Traffic
from berylstair.dispatcher import Dispatcher
from berylstair.errors import ErrorKind
from berylstair.event import (
    BackendDatagram,
    CallerDatagram,
    Event,
    Flush,
    ForwardedDatagram,
    PeerClosed,
    PeerMessage,
    PeerOpened,
    RecordRead,
    SourceConfirmed,
    SourceFailed,
    StopRequested,
    TimerDue,
)
from berylstair.exchange import RecordExchange
from berylstair.flow import FlowTable, flow_key
from berylstair.ids import Endpoint, InstanceId
from berylstair.intake import RequestIntake
from berylstair.membership import HEARTBEAT_INTERVAL_S, PAUSE_THRESHOLD_S, PEER_TIMEOUT_S
from berylstair.message import (
    AddressQuarantines,
    BindingCopy,
    BindingLease,
    ClaimReply,
    ClaimRequest,
    FlowLookupReply,
    FlowLookupRequest,
    HandoverAck,
    Heartbeat,
    Hello,
    InstanceListHistory,
    LoadRow,
    RecordBucketDigests,
    RecordReply,
    RecordRequest,
    RecordVersions,
    ResponseHandover,
    WitnessRoleAcceptance,
    WitnessRoleHandover,
    WitnessRoleOffer,
)
from berylstair.packet import Packet
from berylstair.policy import Policy
from berylstair.proxy import ProxyHeader, Tlv
from berylstair.record import ContractKind, InstancesRecord, Record, ServiceRecord
from berylstair.roles import WitnessRoles
from berylstair.router import FlowLookups, FlowRouter, Rehoming
from berylstair.schema import parse_record
from berylstair.stop import DrainTargets, PlannedStop
from berylstair.view import MS_PER_S, Service

__all__ = ['EntryInstance', 'InstanceDependencies']


@dataclass(frozen=True, slots=True)
class InstanceDependencies:
    """Replaceable dependencies of an instance."""

    policy: Policy
    witness_placement: WitnessPlacement
    rng: Random


class EntryInstance:
    """Decision core of one entry instance, without sockets, clocks or threads.

    All events enter through ``handle``, which may be called with any event in
    any order as long as ``now`` never decreases.
    """

    def __init__(
        self, settings: CoreSettings, dependencies: InstanceDependencies, now: float
    ) -> None:
        """Sets up an instance that has no records and no peers yet.

        Args:
            settings: Settings of the core.
            dependencies: Policy, witness placement and random generator.
            now: Current time in seconds, on any clock that never goes back.
        """
        self.core = Core(settings, dependencies.witness_placement, dependencies.rng, now)
        core = self.core
        self.witness_roles = WitnessRoles(core, now)
        self.flow_table = FlowTable(settings.max_flows)
        self.record_exchange = RecordExchange(core, self._apply_record)
        flow_lookups = FlowLookups(core, self.flow_table)
        self.claim_responder = ClaimResponder(core, self.witness_roles)
        self.claimant = Claimant(core, self.claim_responder)
        self.flow_router = FlowRouter(core, self.flow_table, flow_lookups)
        self.dispatcher = Dispatcher(core, self.claimant, dependencies.policy, self.flow_table)
        self.request_intake = RequestIntake(
            core, self.dispatcher, dependencies.policy, self.flow_table, flow_lookups
        )
        self.rehoming = Rehoming(core, self.flow_table)
        self.planned_stop = PlannedStop(
            core,
            DrainTargets(
                self.dispatcher.table, self.request_intake, self.rehoming, self.witness_roles
            ),
        )
        self._flow_lookups = flow_lookups
        self._last_event_at = now
        self._listed_at: float | None = None
        self._resync_until = now
        self._last_reachable: frozenset[InstanceId] = frozenset()
        self._is_source_lost = False
        self._is_view_expired = False
        self._handler_by_event = self._event_handlers()
        self._handler_by_message = self._message_handlers()
        core.timers.schedule(now, self._run_periodic_tasks)

    @property
    def wake_at(self) -> float | None:
        """Time at which the next TimerDue event is due, None without a timer."""
        return self.core.timers.next_at

    def handle(self, event: Event, now: float) -> list[Action]:
        """Processes one event.

        Args:
            event: What happened.
            now: Current time in seconds.

        Returns:
            The actions to carry out, in order.
        """
        core = self.core
        if now - self._last_event_at > PAUSE_THRESHOLD_S:
            self._handle_pause(now)
        is_stale = now - self._last_event_at > PAUSE_THRESHOLD_S and isinstance(
            event,
            CallerDatagram | ForwardedDatagram,
        )
        self._last_event_at = now
        core.timers.run_due(now)
        if is_stale:
            core.counters.record_refusal(ErrorKind.LATE_WAKE)
        else:
            self._handler_by_event[type(event)](event, now)
        actions = core.actions
        core.actions = []
        return actions

    def is_ready(self, now: float) -> bool:
        """Returns whether the view is complete and recent enough to serve."""
        if self._listed_at is None or now < self._resync_until:
            return False
        membership = self.core.membership
        confirmed_age_s = membership.confirmation_age_s(now)
        if confirmed_age_s is None or confirmed_age_s > self.core.settings.max_stale_s:
            return False
        is_every_peer_reachable = len(membership.reachable) == len(membership.peer_by_id)
        return is_every_peer_reachable or now - self._listed_at >= PEER_TIMEOUT_S

    def send_heartbeats(self, now: float) -> None:
        """Sends a heartbeat to every connected peer."""
        core = self.core
        confirmed_age_s = core.membership.confirmation_age_s(now)
        sent_age_s = core.settings.max_stale_s if confirmed_age_s is None else confirmed_age_s
        heartbeat = Heartbeat(
            core.settings.incarnation,
            core.store.digest,
            core.instance_lists.version,
            round(sent_age_s * MS_PER_S),
            core.membership.is_leaving,
            self.witness_roles.deputy_for,
            self._load_rows(),
        )
        for peer in sorted(self.record_exchange.connected_peers):
            core.send(peer, heartbeat)

    def _event_handlers(self) -> Mapping[type[Any], Callable[[Any, float], None]]:
        return {
            CallerDatagram: self._handle_caller_datagram,
            ForwardedDatagram: self._handle_forwarded_datagram,
            BackendDatagram: self._handle_backend_datagram,
            PeerOpened: lambda event, now: self.record_exchange.handle_peer_opened(event.peer, now),
            PeerClosed: self._handle_peer_closed,
            PeerMessage: self._handle_peer_message,
            RecordRead: lambda event, now: self.record_exchange.apply_record_text(
                event.place, event.text, now
            ),
            SourceConfirmed: self._handle_source_confirmed,
            SourceFailed: self._handle_source_failed,
            TimerDue: lambda event, now: None,
            Flush: lambda event, now: self._send_batches(),
            StopRequested: self._handle_stop_requested,
        }

    def _message_handlers(self) -> Mapping[type[Any], Callable[[InstanceId, Any, float], None]]:
        record_exchange = self.record_exchange
        return {
            Hello: lambda peer, message, now: None,
            Heartbeat: self._handle_heartbeat,
            RecordBucketDigests: lambda peer, message, now: record_exchange.handle_bucket_digests(
                peer, message
            ),
            RecordVersions: record_exchange.handle_record_versions,
            RecordRequest: lambda peer, message, now: record_exchange.handle_record_request(
                peer, message
            ),
            RecordReply: record_exchange.handle_record_reply,
            AddressQuarantines: lambda peer, message, now: (
                record_exchange.handle_address_quarantines(message, now)
            ),
            ClaimRequest: self.claim_responder.handle_claim_request,
            ClaimReply: self.claimant.handle_claim_reply,
            InstanceListHistory: self._handle_list_history,
            BindingLease: lambda peer, message, now: self.flow_router.handle_binding_lease(
                message, now
            ),
            BindingCopy: self._handle_binding_copy,
            FlowLookupRequest: lambda peer, message, now: (
                self._flow_lookups.handle_flow_lookup_request(peer, message.keys, now)
            ),
            FlowLookupReply: self._flow_lookups.handle_flow_lookup_reply,
            ResponseHandover: self._handle_response_handover,
            HandoverAck: self.planned_stop.handle_handover_ack,
            WitnessRoleOffer: self.witness_roles.handle_role_offer,
            WitnessRoleAcceptance: self.witness_roles.handle_role_acceptance,
            WitnessRoleHandover: self._handle_role_handover,
        }

    def _handle_stop_requested(self, event: StopRequested, now: float) -> None:
        if self.planned_stop.start(now):
            self.send_heartbeats(now)
            self.rehoming.start_if_needed(now)

    def _handle_pause(self, now: float) -> None:
        """Recovers from a pause of this process.

        Messages that peers sent during the pause may be outdated as well, so
        the instance serves again only after PEER_TIMEOUT_S, which is long
        enough for several new heartbeats to arrive.
        """
        core = self.core
        core.counters.record_traffic(Traffic.PAUSES)
        core.log(LogEvent.PAUSED, f'seconds={now - self._last_event_at:.1f}')
        core.membership.reset_peer_timeouts(now)
        self._resync_until = now + PEER_TIMEOUT_S
        core.actions.append(DiscardPendingDatagrams())

    def _handle_caller_datagram(self, event: CallerDatagram, now: float) -> None:
        self.core.counters.record_traffic(Traffic.CALLER_DATAGRAMS)
        self.planned_stop.record_packet(now)
        service = self._find_servable_service(event.address, now)
        if service is not None:
            packet = Packet(service, event.caller, event.address, event.payload)
            self._route(packet, now)

    def _handle_forwarded_datagram(self, event: ForwardedDatagram, now: float) -> None:
        self.core.counters.record_traffic(Traffic.FORWARDED_IN)
        header = event.header
        service = self._find_servable_service(header.address, now)
        if service is None:
            return
        if header.tlvs.get(Tlv.SERVICE) != service.name.encode():
            self.core.counters.record_refusal(ErrorKind.NO_SUCH_SERVICE)
            return
        sender = InstanceId(header.tlvs.get(Tlv.SENDER, b'').decode('utf-8', 'replace'))
        if sender not in self.core.membership.peer_by_id:
            self.core.counters.record_refusal(ErrorKind.UNKNOWN_SENDER)
            return
        hops = int.from_bytes(header.tlvs.get(Tlv.HOPS, b'\x01'), 'big')
        packet = Packet(service, header.caller, header.address, event.payload, sender, hops)
        self._route(packet, now)

    def _route(self, packet: Packet, now: float) -> None:
        if packet.service.contract.kind is ContractKind.FLOW:
            self.flow_router.route(packet, now)
        else:
            self.request_intake.route(packet, now)

    def _handle_backend_datagram(self, event: BackendDatagram, now: float) -> None:
        self.core.counters.record_traffic(Traffic.BACKEND_DATAGRAMS)
        if Tlv.ATTEMPT in event.header.tlvs:
            self.dispatcher.handle_response(event, now)
            return
        self._relay_flow_answer(event.source, event.header, event.payload, now)

    def _relay_flow_answer(
        self,
        source: Endpoint,
        header: ProxyHeader,
        payload: bytes,
        now: float,
    ) -> None:
        """Relays an answer of a flow to its caller.

        The answer is dropped if it does not come from a server of the service,
        or if the flow is bound to another server.
        """
        core = self.core
        service = core.store.service_by_address.get(header.address)
        server = service.server_by_address.get(source) if service else None
        if service is None or server is None:
            core.counters.record_refusal(ErrorKind.UNMATCHED_ANSWER)
            return
        if header.tlvs.get(Tlv.SERVICE) != service.name.encode():
            core.counters.record_refusal(ErrorKind.FOREIGN_ANSWER)
            return
        binding = self.flow_table.get(flow_key(service.name, header.caller), now)
        if binding is not None and binding.backend != server.id:
            core.counters.record_refusal(ErrorKind.FOREIGN_ANSWER)
            return
        self.flow_router.relay_answer(header, payload)

    def _find_servable_service(self, address: Endpoint, now: float) -> Service | None:
        """Returns the service at an address.

        Counts a refusal and returns None if the address cannot be served now.
        """
        core = self.core
        service = core.store.service_by_address.get(address)
        kind = None
        if not self.is_ready(now):
            kind = ErrorKind.VIEW_EXPIRED
        elif service is None:
            kind = ErrorKind.NO_SUCH_SERVICE
        elif core.store.is_quarantined(address, now):
            kind = ErrorKind.QUARANTINED
        if kind is not None:
            core.counters.record_refusal(kind)
            return None
        return service

    def _apply_record(self, record: Record, now: float) -> None:
        """Updates the other components after a record has come into force."""
        if isinstance(record, ServiceRecord):
            self.dispatcher.apply_service(self.core.store.service_by_name[record.name], now)
            return
        self._apply_instances_record(record, now)

    def _apply_instances_record(self, record: InstancesRecord, now: float) -> None:
        membership = self.core.membership
        listed = list(record.instances)
        is_listed = any(instance.id == membership.own_id for instance in listed)
        if not is_listed:
            self._listed_at = None
        elif self._listed_at is None:
            self._listed_at = now
        membership.apply_listed_instances(listed, now)
        self.claimant.restart_pending_claims(now)
        self.send_heartbeats(now)
        self.rehoming.start_if_needed(now)

    def _handle_source_confirmed(self, event: SourceConfirmed, now: float) -> None:
        self.core.membership.record_confirmation(now)
        if self._is_source_lost:
            self._is_source_lost = False
            self.core.log(LogEvent.SOURCE_BACK, '')

    def _handle_source_failed(self, event: SourceFailed, now: float) -> None:
        self.core.counters.record_refusal(ErrorKind.SOURCE_UNAVAILABLE)
        if not self._is_source_lost:
            self._is_source_lost = True
            self.core.log(LogEvent.SOURCE_LOST, '')

    def _handle_peer_closed(self, event: PeerClosed, now: float) -> None:
        self.record_exchange.connected_peers.discard(event.peer)
        self.core.membership.handle_disconnect(event.peer, now)
        self.rehoming.start_if_needed(now)

    def _handle_peer_message(self, event: PeerMessage, now: float) -> None:
        is_unlisted = event.peer not in self.core.membership.peer_by_id
        if is_unlisted and self.core.instance_lists.version:
            self.core.counters.record_refusal(ErrorKind.UNKNOWN_SENDER)
            return
        self._handler_by_message[type(event.message)](event.peer, event.message, now)

    def _handle_heartbeat(self, peer: InstanceId, message: Heartbeat, now: float) -> None:
        core = self.core
        was_reachable = peer in core.membership.reachable
        if core.membership.handle_heartbeat(peer, message, now):
            core.instance_lists.clear_list_version(peer)
            core.log(LogEvent.PEER_RESTARTED, f'peer={peer} incarnation={message.incarnation}')
        if not was_reachable:
            core.log(LogEvent.PEER_ALIVE, f'peer={peer}')
        self.witness_roles.offer_roles_to_owners()
        core.instance_lists.record_list_version(peer, message.list_version, now)
        self.record_exchange.handle_digest(peer, message.records_digest)
        self.rehoming.start_if_needed(now)

    def _handle_list_history(
        self, peer: InstanceId, message: InstanceListHistory, now: float
    ) -> None:
        for text in message.texts:
            record = parse_record(f'peer {peer}', text).unwrap_or(None)
            if isinstance(record, InstancesRecord):
                self.core.instance_lists.add_replaced_list(record, text)
        self.claimant.restart_pending_claims(now)

    def _handle_binding_copy(self, peer: InstanceId, message: BindingCopy, now: float) -> None:
        self.flow_router.handle_binding_copy(message, now)
        if message.handover_id:
            self.core.send(peer, HandoverAck(message.handover_id))

    def _handle_response_handover(
        self, peer: InstanceId, message: ResponseHandover, now: float
    ) -> None:
        self.request_intake.handle_response_handover(message, now)
        self.core.send(peer, HandoverAck(message.handover_id))

    def _handle_role_handover(
        self, peer: InstanceId, message: WitnessRoleHandover, now: float
    ) -> None:
        if self.witness_roles.handle_role_handover(peer, message, now):
            self.core.log(LogEvent.ROLE_TAKEN, f'owner={message.owner} from={peer}')
            self.claimant.restart_pending_claims(now)
            self.send_heartbeats(now)

    def _run_periodic_tasks(self, now: float) -> None:
        """Sends heartbeats and does the other periodic work."""
        core = self.core
        core.timers.schedule(now + HEARTBEAT_INTERVAL_S, self._run_periodic_tasks)
        core.membership.update_liveness(now)
        for peer in sorted(self._last_reachable - core.membership.reachable):
            core.instance_lists.clear_list_version(peer)
            core.log(LogEvent.PEER_LOST, f'peer={peer}')
        self._last_reachable = core.membership.reachable
        if core.membership.is_majority_reachable and core.instance_lists.version:
            self.witness_roles.record_majority_heard()
        self.witness_roles.prune_expired_roles(now)
        core.instance_lists.prune_replaced_lists(now)
        self.dispatcher.table.prune_expired(now)
        self.send_heartbeats(now)
        self._confirm_view_by_majority(now)
        self._check_view_age(now)
        self.rehoming.start_if_needed(now)
        self.dispatcher.dispatch_all_queued(now)

    def _check_view_age(self, now: float) -> None:
        """Logs when the view becomes too old to serve."""
        confirmed_age_s = self.core.membership.confirmation_age_s(now)
        is_expired = (
            confirmed_age_s is not None and confirmed_age_s > self.core.settings.max_stale_s
        )
        if is_expired and not self._is_view_expired:
            self.core.log(LogEvent.VIEW_EXPIRED, f'seconds={confirmed_age_s:.0f}')
        self._is_view_expired = is_expired

    def _confirm_view_by_majority(self, now: float) -> None:
        """Confirms the view if a majority of the listed instances has the same records."""
        membership = self.core.membership
        peers = membership.peer_by_id.values()
        agreeing_count = sum(
            peer.id in membership.reachable and peer.records_digest == self.core.store.digest
            for peer in peers
        )
        if (agreeing_count + 1) * 2 > len(peers) + 1:
            membership.record_confirmation(now)

    def _load_rows(self) -> tuple[LoadRow, ...]:
        requests = self.dispatcher.attempts.open_attempts_by_backend
        flows = self.flow_table.home_count_by_backend
        keys = {key for counts in (requests, flows) for key in counts if counts[key]}
        return tuple(
            LoadRow(key[0], key[1], requests.get(key, 0), flows.get(key, 0)) for key in sorted(keys)
        )

    def _send_batches(self) -> None:
        """Sends the rows that were batched since the last flush."""
        core = self.core
        lists = core.instance_lists
        for batch in core.pop_batches():
            if batch.message_type is ClaimRequest:
                incarnation = core.settings.incarnation
                message = ClaimRequest(
                    batch.witness,
                    incarnation,
                    lists.version,
                    lists.quorum_versions,
                    batch.rows,
                )
            elif batch.message_type is BindingCopy:
                message = BindingCopy(self.planned_stop.start_handover(batch.peer), batch.rows)
            else:
                message = batch.message_type(batch.rows)
            core.send(batch.peer, message)
