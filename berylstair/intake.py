"""Receives callers' requests: routes and decodes them, detects duplicates."""

from collections.abc import Iterator

from berylstair.action import SendToCaller
from berylstair.catalogue import LogEvent
from berylstair.coap import (
    CoapRequest,
    DatagramKind,
    classify_datagram,
    decode_request,
    decode_request_header,
)
from berylstair.core import MAX_HOPS, Core
from berylstair.counter import Traffic
from berylstair.dispatcher import Dispatcher, encode_error_for_kind
from berylstair.errors import DecodeError, ErrorKind
from berylstair.flow import FlowTable, dispatcher_and_successor, transfer_key
from berylstair.ids import BackendId, InstanceId, RequestId
from berylstair.message import ResponseHandover, ResponseRow
from berylstair.packet import Packet
from berylstair.policy import DispatchPlace, Policy
from berylstair.request import Request, Stage, compute_request_id, find_operation
from berylstair.router import FlowLookups
from berylstair.view import Service

__all__ = ['RequestIntake']

MAX_REQUEST_BYTES = 4096
HANDOVER_BATCH_ROWS = 256
_MS_PER_S = 1000


class RequestIntake:
    """Forwards each request to its dispatching instance, or accepts it here."""

    def __init__(
        self,
        core: Core,
        dispatcher: Dispatcher,
        policy: Policy,
        flows: FlowTable,
        lookups: FlowLookups,
    ) -> None:
        """Sets up an intake that shares the request table of the dispatcher.

        Args:
            core: Shared state.
            dispatcher: Processes the requests that are accepted here.
            policy: Determines which instance dispatches.
            flows: Bindings of block-wise transfers.
            lookups: Asks other instances for bindings.
        """
        self._core = core
        self._dispatcher = dispatcher
        self._table = dispatcher.table
        self._policy = policy
        self._flows = flows
        self._lookups = lookups

    def route(self, packet: Packet, now: float) -> None:
        """Forwards a request to its dispatching instance, or accepts it here.

        Args:
            packet: Received from the fabric or from another instance.
            now: Current time in seconds.
        """
        kind = classify_datagram(packet.payload)
        if kind is DatagramKind.MALFORMED:
            self._core.counters.record_refusal(ErrorKind.MALFORMED_DATAGRAM)
        if kind is not DatagramKind.REQUEST:
            return
        target = self._remote_dispatcher(packet.service)
        is_own = target is None or packet.hops >= MAX_HOPS
        if is_own or self._has_request(packet):
            self._handle_request(packet, now)
        else:
            self._forward_packet(packet, target)

    def handover_batches(
        self,
        now: float,
    ) -> Iterator[tuple[InstanceId, tuple[ResponseRow, ...]]]:
        """Batches the stored responses for each instance that is not leaving.

        Args:
            now: Current time in seconds.

        Yields:
            A receiver and a batch of responses for it.
        """
        rows = [
            ResponseRow(request_id, finished.response, max(int(finished.expires_at - now), 1))
            for request_id, finished in self._table.finished_by_id.items()
            if finished.expires_at > now
        ]
        self._core.log(LogEvent.HANDOVER_SENT, f'answers={len(rows)}')
        for peer in self._core.membership.eligible:
            for start in range(0, len(rows), HANDOVER_BATCH_ROWS):
                yield peer, tuple(rows[start : start + HANDOVER_BATCH_ROWS])

    def handle_response_handover(self, message: ResponseHandover, now: float) -> None:
        """Stores the responses handed over at the planned stop of another instance."""
        for row in message.responses:
            known = self._table.request_by_id.get(RequestId(row.request_id))
            if known is None or known.stage is Stage.HELD_ELSEWHERE:
                self._table.finish(RequestId(row.request_id), row.response, row.remaining_s, now)

    def _remote_dispatcher(self, service: Service) -> InstanceId | None:
        """Returns the instance to forward requests to, None for this one."""
        if (
            self._policy.dispatch_place is DispatchPlace.RECEIVER
            and not self._core.membership.is_leaving
        ):
            return None
        target = dispatcher_and_successor(service.name, self._core.membership.eligible)[:1]
        if not target or target[0] == self._core.settings.instance:
            return None
        return target[0]

    def _forward_packet(self, packet: Packet, peer: InstanceId) -> None:
        self._core.forward(
            peer,
            packet.service,
            packet.caller,
            packet.address,
            packet.payload,
            packet.hops,
        )

    def _has_request(self, packet: Packet) -> bool:
        """Returns whether the request is known here although another instance dispatches it."""
        if not self._table.request_by_id and not self._table.finished_by_id:
            return False
        coap = decode_request_header(packet.payload)
        request_id = compute_request_id(packet.service.name, packet.address, packet.caller, coap)
        return request_id in self._table.request_by_id or request_id in self._table.finished_by_id

    def _handle_request(self, packet: Packet, now: float) -> None:
        coap = self._decode_or_refuse(packet)
        if coap is None:
            return
        request_id = compute_request_id(packet.service.name, packet.address, packet.caller, coap)
        finished = self._table.finished_by_id.get(request_id)
        known = self._table.request_by_id.get(request_id)
        if finished is not None and finished.expires_at > now:
            self._core.counters.record_traffic(Traffic.ANSWERS_REPLAYED)
            self._send_response(packet, finished.response)
        elif known is None:
            self._admit_new_request(request_id, packet, coap, now)
        else:
            self._handle_duplicate(known, packet)

    def _admit_new_request(
        self,
        request_id: RequestId,
        packet: Packet,
        coap: CoapRequest,
        now: float,
    ) -> None:
        if self._table.is_full:
            self._refuse_packet(packet, coap, ErrorKind.MEMORY_FULL)
        else:
            self._start_or_look_up(request_id, packet, coap, now)

    def _decode_or_refuse(self, packet: Packet) -> CoapRequest | None:
        if len(packet.payload) > MAX_REQUEST_BYTES:
            self._refuse_packet(packet, decode_request_header(packet.payload), ErrorKind.OVERSIZED)
            return None
        try:
            return decode_request(packet.payload)
        except DecodeError:
            coap = decode_request_header(packet.payload)
            self._refuse_packet(packet, coap, ErrorKind.MALFORMED_REQUEST)
            return None

    def _handle_duplicate(self, request: Request, packet: Packet) -> None:
        """Drops a duplicate of an unfinished request, or forwards it to the holder."""
        self._core.counters.record_traffic(Traffic.DUPLICATES_ABSORBED)
        holder = InstanceId(request.holder)
        is_held_elsewhere = request.stage is Stage.HELD_ELSEWHERE
        if is_held_elsewhere and holder in self._core.membership.reachable:
            self._forward_packet(packet, holder)

    def _start_or_look_up(
        self,
        request_id: RequestId,
        packet: Packet,
        coap: CoapRequest,
        now: float,
    ) -> None:
        pinned_backend = self._find_pinned_backend(packet, coap, now)
        if self._needs_lookup(packet, coap, pinned_backend, now):
            transfer = transfer_key(packet.service.name, packet.caller, coap.path)
            self._lookups.start_lookup(
                transfer, lambda at: self._handle_request(packet.with_lookup_done(), at), now
            )
            return
        request = self._new_request(request_id, packet, coap, now)
        request.pinned_backend = pinned_backend
        self._dispatcher.accept_request(request, packet.service, now)

    def _needs_lookup(
        self,
        packet: Packet,
        coap: CoapRequest,
        pinned_backend: BackendId | None,
        now: float,
    ) -> bool:
        """Returns whether another instance may hold the binding of a block-wise transfer."""
        if pinned_backend is not None or not coap.block_number or packet.is_lookup_done:
            return False
        return self._lookups.is_needed(packet.service.contract.flow_idle_s, now)

    def _find_pinned_backend(
        self, packet: Packet, coap: CoapRequest, now: float
    ) -> BackendId | None:
        if not coap.block_number:
            return None
        key = transfer_key(packet.service.name, packet.caller, coap.path)
        binding = self._flows.get(key, now)
        if binding is None or binding.backend not in packet.service.server_by_id:
            return None
        return binding.backend

    def _new_request(
        self,
        request_id: RequestId,
        packet: Packet,
        coap: CoapRequest,
        now: float,
    ) -> Request:
        operation = find_operation(packet.service.contract, coap)
        max_deadline_s = self._core.settings.request_lifetime_s / 2
        return Request(
            request_id,
            packet.service.name,
            packet.caller,
            packet.address,
            packet.payload,
            coap,
            operation,
            now,
            now + min(operation.deadline_ms / 1000, max_deadline_s),
        )

    def _refuse_packet(self, packet: Packet, coap: CoapRequest, kind: ErrorKind) -> None:
        self._core.counters.record_refusal(kind)
        self._send_response(packet, encode_error_for_kind(self._core.rng, coap, kind))

    def _send_response(self, packet: Packet, payload: bytes) -> None:
        self._core.actions.append(SendToCaller(packet.address, packet.caller, payload))
