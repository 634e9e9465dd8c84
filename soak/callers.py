"""Callers of a run."""

import asyncio
from collections.abc import Callable
from contextlib import suppress
from itertools import count
from random import Random

from berylstair.ids import Endpoint
from emulator.platform_fleet import ACK, FIN, PACKET_HEADER, RST, SYN, pack_packet
from emulator.udp import UdpSocket
from soak.clock import RunClock
from soak.ledger import Promise, RequestOutcome, RunObservations

__all__ = ['Caller', 'CallerFlow']

# As the platform's callers do: copies of the opening segment, and its end.
_OPENING_TIMEOUTS_AFTER_S = (0.2, 0.6, 1.4)
_INITIAL_RETRANSMIT_INTERVAL_S = 0.2
_MAX_RETRANSMIT_INTERVAL_S = 1.6
REQUEST_TIMEOUT_S = 5.0
_INITIAL_SEQUENCE_NUMBER = 1000
_FIRST_PORT = 20_000

SendPacket = Callable[[bytes, Endpoint], None]


class CallerFlow:
    """One flow.

    Attributes:
        server: Address of the server that the flow is open at, None before.
    """

    def __init__(
        self, caller_address: Endpoint, service_address: Endpoint, send: SendPacket
    ) -> None:
        """Prepares the flow; it opens with ``open``."""
        self.caller_address = caller_address
        self.service_address = service_address
        self.server_ip: str | None = None
        self._send = send
        self._sequence = _INITIAL_SEQUENCE_NUMBER
        self._acknowledged = 0
        self._echo = 0
        self._inbox: asyncio.Queue[tuple[bytes, str]] = asyncio.Queue()

    def handle_packet(self, packet: bytes, source_ip: str) -> None:
        """Takes a packet from a server or an instance."""
        self._inbox.put_nowait((packet, source_ip))

    async def open(self) -> RequestOutcome | None:
        """Opens the flow.

        Returns:
            None once it is open, else how it ended.
        """
        loop = asyncio.get_running_loop()
        started_at = loop.time()
        for retransmission_count, timeout_after_s in enumerate(_OPENING_TIMEOUTS_AFTER_S):
            self._send_packet(SYN, (self._sequence, retransmission_count, 0))
            found = await self._receive(started_at + timeout_after_s)
            if found is None:
                continue
            flags, sequence, _, source_ip = found
            if flags & RST:
                return RequestOutcome.REFUSED
            self.server_ip = source_ip
            self._acknowledged = sequence + 1
            self._sequence += 1
            self._send_packet(ACK, (self._sequence, self._acknowledged, self._echo))
            return None
        return RequestOutcome.NOT_OPENED

    async def send_request(self, request_number: int, work_ms: int) -> tuple[RequestOutcome, bytes]:
        """Sends a request and waits for its answer.

        Returns:
            How it ended, and the answer or the resetting address.
        """
        data = b'%d %d' % (request_number, work_ms)
        loop = asyncio.get_running_loop()
        until = loop.time() + REQUEST_TIMEOUT_S
        pause_s = _INITIAL_RETRANSMIT_INTERVAL_S
        while loop.time() < until:
            self._send_packet(ACK, (self._sequence, self._acknowledged, self._echo), data)
            expected_ack = self._sequence + len(data)
            found = await self._receive(min(loop.time() + pause_s, until), expected_ack)
            pause_s = min(pause_s * 2, _MAX_RETRANSMIT_INTERVAL_S)
            if found is None:
                continue
            flags, _, answer, source_ip = found
            if flags & RST:
                return RequestOutcome.SERVER_RESET, source_ip.encode()
            self._sequence += len(data)
            self._acknowledged += len(answer)
            self._send_packet(ACK, (self._sequence, self._acknowledged, self._echo))
            return RequestOutcome.ANSWERED, answer
        return RequestOutcome.SILENT, b''

    def close(self) -> None:
        """Ends the flow."""
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
        """Waits for a packet of the flow's server, or for anybody's reset.

        Args:
            until: When to give up, on the loop's clock.
            expected: What the packet has to acknowledge where data is wanted;
                copies of earlier answers acknowledge less.

        Returns:
            Flags, sequence number, data and source; None where none came.
        """
        with suppress(TimeoutError):
            async with asyncio.timeout_at(until):
                found = None
                while found is None:
                    found = self._match_packet(*await self._inbox.get(), expected_ack)
                return found
        return None

    def _match_packet(
        self, packet: bytes, source_ip: str, expected_ack: int
    ) -> tuple[int, int, bytes, str] | None:
        """Reads a packet; None where it is not what is waited for."""
        length, flags = PACKET_HEADER.unpack_from(packet)[:2]
        sequence, acknowledged, echo = PACKET_HEADER.unpack_from(packet)[7:]
        if flags & RST:
            return flags, sequence, b'', source_ip
        self._echo = echo
        is_wanted = acknowledged == expected_ack if expected_ack else not length
        if is_wanted and self.server_ip in {None, source_ip}:
            return flags, sequence, packet[PACKET_HEADER.size :], source_ip
        return None


class Caller:
    """A caller's address with its flows."""

    def __init__(
        self,
        ip: str,
        port: int,
        send: SendPacket,
        clock: RunClock,
        observations: RunObservations,
        rng: Random,
    ) -> None:
        """Binds the address.

        Args:
            ip: Address.
            port: Port at which all callers take packets.
            send: Hands a packet to the fabric.
            clock: Time of the run.
            ledger: Where verdicts go.
            rng: Seeded random generator.
        """
        self.ip = ip
        self._send = send
        self._clock = clock
        self._observations = observations
        self._rng = rng
        self._ports = count(_FIRST_PORT)
        self._flow_by_port: dict[int, CallerFlow] = {}
        self._socket = UdpSocket(Endpoint(ip, port), self._handle_datagram)

    def close(self) -> None:
        """Closes the socket."""
        self._socket.close()

    def send_packet(self, packet: bytes, target: Endpoint) -> None:
        """Sends a packet to an instance."""
        self._socket.send(packet, target)

    def create_flow(self, service_address: Endpoint) -> CallerFlow:
        """Makes a flow to a service address."""
        port = next(self._ports)
        made = CallerFlow(Endpoint(self.ip, port), service_address, self._send)
        self._flow_by_port[port] = made
        return made

    async def send_request(
        self, service_address: Endpoint, request_number: int, work_ms: int
    ) -> RequestOutcome:
        """Sends one request on a flow of its own and checks what comes back."""
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
        """Sends one request on an open flow and checks what comes back."""
        outcome, detail = await flow.send_request(request_number, work_ms)
        now = self._clock.now()
        if outcome is RequestOutcome.ANSWERED and detail.split()[0] != b'%d' % request_number:
            self._observations.add_finding(
                Promise.OWN_ANSWER, now, f'request={request_number} answer={detail!r}'
            )
        if outcome is RequestOutcome.SERVER_RESET and detail.decode() != flow.server_ip:
            self._observations.add_finding(
                Promise.OPEN_FLOW, now, f'caller={flow.caller_address} reset by {detail.decode()}'
            )
        return outcome

    def _handle_datagram(self, packet: bytes, source: Endpoint) -> None:
        flow = self._flow_by_port.get(PACKET_HEADER.unpack_from(packet)[3])
        if flow is not None:
            flow.handle_packet(packet, source.ip)
