"""Simulated callers of a soak run."""

import asyncio
from collections.abc import Callable
from contextlib import suppress
from itertools import count
from random import Random

from berylstair.ids import Endpoint
from emulator.platform_fleet import ACK, FIN, PACKET_HEADER, RST, SYN, pack_packet
from emulator.udp import UdpSocket
from soak.clock import RunClock
from soak.observations import Promise, RequestOutcome, RunObservations

__all__ = ['Caller', 'CallerFlow']

# Times since the first opening segment, in seconds, at which the platform's callers
# retransmit it; at the last one they give up.
_OPENING_TIMEOUTS_AFTER_S = (0.2, 0.6, 1.4)
_INITIAL_RETRANSMIT_INTERVAL_S = 0.2
_MAX_RETRANSMIT_INTERVAL_S = 1.6
REQUEST_TIMEOUT_S = 5.0
_INITIAL_SEQUENCE_NUMBER = 1000
_FIRST_PORT = 20_000

SendPacket = Callable[[bytes, Endpoint], None]


class CallerFlow:
    """A flow from a caller to a service address.

    Attributes:
        server_ip: Address of the server that accepted the flow, None before.
    """

    def __init__(
        self, caller_address: Endpoint, service_address: Endpoint, send: SendPacket
    ) -> None:
        """Prepares a flow; ``open`` sends its opening segment."""
        self.caller_address = caller_address
        self.service_address = service_address
        self.server_ip: str | None = None
        self._send = send
        self._sequence = _INITIAL_SEQUENCE_NUMBER
        self._acknowledged = 0
        self._echo = 0
        self._inbox: asyncio.Queue[tuple[bytes, str]] = asyncio.Queue()

    def handle_packet(self, packet: bytes, source_ip: str) -> None:
        """Queues a packet received from a server or an instance, and takes over its echo."""
        if not PACKET_HEADER.unpack_from(packet)[1] & RST:
            self._echo = PACKET_HEADER.unpack_from(packet)[-1]
        self._inbox.put_nowait((packet, source_ip))

    async def open(self) -> RequestOutcome | None:
        """Opens the flow with retransmissions of the opening segment.

        Returns:
            None if the flow is open, else why it did not open.
        """
        loop = asyncio.get_running_loop()
        started_at = loop.time()
        for retransmission_count, timeout_after_s in enumerate(_OPENING_TIMEOUTS_AFTER_S):
            self._send_packet(SYN, (self._sequence, retransmission_count, 0))
            reply = await self._receive(started_at + timeout_after_s)
            if reply is None:
                continue
            flags, sequence, _, source_ip = reply
            if flags & RST:
                return RequestOutcome.REFUSED
            self.server_ip = source_ip
            self._acknowledged = sequence + 1
            self._sequence += 1
            self._send_packet(ACK, (self._sequence, self._acknowledged, self._echo))
            return None
        return RequestOutcome.NOT_OPENED

    async def send_request(self, request_number: int, work_ms: int) -> tuple[RequestOutcome, bytes]:
        """Sends a request with retransmissions and waits for its answer.

        Returns:
            The outcome; and the answer, or the IP address that sent a reset.
        """
        data = b'%d %d' % (request_number, work_ms)
        loop = asyncio.get_running_loop()
        until = loop.time() + REQUEST_TIMEOUT_S
        retransmit_interval_s = _INITIAL_RETRANSMIT_INTERVAL_S
        while loop.time() < until:
            self._send_packet(ACK, (self._sequence, self._acknowledged, self._echo), data)
            expected_ack = self._sequence + len(data)
            reply = await self._receive(
                min(loop.time() + retransmit_interval_s, until), expected_ack
            )
            retransmit_interval_s = min(retransmit_interval_s * 2, _MAX_RETRANSMIT_INTERVAL_S)
            if reply is None:
                continue
            flags, _, answer, source_ip = reply
            if flags & RST:
                return RequestOutcome.SERVER_RESET, source_ip.encode()
            self._sequence += len(data)
            self._acknowledged += len(answer)
            self._send_packet(ACK, (self._sequence, self._acknowledged, self._echo))
            return RequestOutcome.ANSWERED, answer
        return RequestOutcome.SILENT, b''

    def close(self) -> None:
        """Sends the closing segment."""
        self._send_packet(ACK | FIN, (self._sequence, self._acknowledged, self._echo))

    def _send_packet(
        self, flags: int, header_fields: tuple[int, int, int], data: bytes = b''
    ) -> None:
        self._send(
            pack_packet(flags, self.caller_address, self.service_address, header_fields, data),
            self.caller_address,
        )

    async def _receive(
        self, until: float, expected_ack: int = 0
    ) -> tuple[int, int, bytes, str] | None:
        """Waits for a packet from the flow's server, or for a reset from any address.

        Args:
            until: End of the wait, on the event loop's clock.
            expected_ack: Acknowledgement number that an answer must carry;
                retransmissions of earlier answers carry a lower one. 0 to wait
                for a packet without data.

        Returns:
            Flags, sequence number, data and source address; None on timeout.
        """
        with suppress(TimeoutError):
            async with asyncio.timeout_at(until):
                reply = None
                while reply is None:
                    reply = self._match_packet(*await self._inbox.get(), expected_ack)
                return reply
        return None

    def _match_packet(
        self, packet: bytes, source_ip: str, expected_ack: int
    ) -> tuple[int, int, bytes, str] | None:
        """Decodes a packet; returns None if it is not the expected one."""
        length, flags = PACKET_HEADER.unpack_from(packet)[:2]
        sequence, acknowledged = PACKET_HEADER.unpack_from(packet)[7:9]
        if flags & RST:
            return flags, sequence, b'', source_ip
        is_expected = acknowledged == expected_ack if expected_ack else not length
        if is_expected and self.server_ip in {None, source_ip}:
            return flags, sequence, packet[PACKET_HEADER.size :], source_ip
        return None


class Caller:
    """A caller: one address and the flows opened from it.

    Attributes:
        is_flow_held: Returns whether the server of a flow runs and holds it; only then
            nobody else may reset the flow.
    """

    def __init__(
        self,
        ip: str,
        port: int,
        send: SendPacket,
        clock: RunClock,
        observations: RunObservations,
        rng: Random,
    ) -> None:
        """Opens the socket.

        Args:
            ip: Address of the caller.
            port: Port at which every caller receives packets.
            send: Passes a packet to the fabric.
            clock: Clock of the run.
            observations: Records outcomes and findings.
            rng: Seeded random generator.
        """
        self.ip = ip
        self._send = send
        self._clock = clock
        self._observations = observations
        self._rng = rng
        self._ports = count(_FIRST_PORT)
        self._flow_by_port: dict[int, CallerFlow] = {}
        self.is_flow_held: Callable[[CallerFlow], bool] = lambda _flow: True
        self._socket = UdpSocket(Endpoint(ip, port), self._handle_datagram)

    def close(self) -> None:
        """Closes the socket."""
        self._socket.close()

    def send_packet(self, packet: bytes, target: Endpoint) -> None:
        """Sends a packet to an instance."""
        self._socket.send(packet, target)

    def create_flow(self, service_address: Endpoint) -> CallerFlow:
        """Creates a flow from a new port to a service address."""
        port = next(self._ports)
        flow = CallerFlow(Endpoint(self.ip, port), service_address, self._send)
        self._flow_by_port[port] = flow
        return flow

    async def send_request(
        self, service_address: Endpoint, request_number: int, work_ms: int
    ) -> RequestOutcome:
        """Sends one request on a new flow and checks the answer."""
        flow = self.create_flow(service_address)
        outcome = await flow.open()
        if outcome is None:
            outcome = await self.send_flow_request(flow, request_number, work_ms)
            flow.close()
        if outcome is RequestOutcome.REFUSED:
            self._observations.refused_requests.add(request_number)
        self._observations.outcome_counts[outcome] += 1
        return outcome

    async def send_flow_request(
        self, flow: CallerFlow, request_number: int, work_ms: int
    ) -> RequestOutcome:
        """Sends one request on an open flow and checks the answer."""
        outcome, detail = await flow.send_request(request_number, work_ms)
        now = self._clock.now()
        if outcome is RequestOutcome.ANSWERED and detail.split()[0] != b'%d' % request_number:
            self._observations.add_finding(
                Promise.OWN_ANSWER, now, f'request={request_number} answer={detail!r}'
            )
        is_foreign = outcome is RequestOutcome.SERVER_RESET and detail.decode() != flow.server_ip
        if is_foreign and self.is_flow_held(flow):
            self._observations.add_finding(
                Promise.OPEN_FLOW, now, f'caller={flow.caller_address} reset by {detail.decode()}'
            )
        return outcome

    def _handle_datagram(self, packet: bytes, source: Endpoint) -> None:
        flow = self._flow_by_port.get(PACKET_HEADER.unpack_from(packet)[3])
        if flow is not None:
            flow.handle_packet(packet, source.ip)
