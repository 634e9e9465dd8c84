"""Backend servers of a soak run: they answer callers directly and record what they get."""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass, field
from ipaddress import IPv4Address

from berylstair.ids import Endpoint
from emulator.health_port import HealthPort
from emulator.platform_fleet import ACK, FIN, PACKET_HEADER, RST, SYN, pack_packet
from emulator.udp import UdpSocket
from soak.clock import RunClock
from soak.observations import RunObservations

__all__ = ['BackendServer', 'FlowKey', 'ServerAddress']

# IP address and port of the service and of the caller, as in the packet header.
FlowKey = tuple[int, int, int, int]
_INITIAL_SEQUENCE_STEP = 100_000
_SEQUENCE_SPACE = 1 << 32
# Pauses before an answer to an opening segment is sent again.
_OPENING_REPEATED_AFTER_S = (0.2, 0.4, 0.8, 1.6, 1.6, 1.6, 1.6, 1.6)
_BACKEND_NUMBER_BYTES = 8


@dataclass(slots=True)
class _ServerFlow:
    """State of a flow at its server.

    Attributes:
        echo: Echo of the last packet received, which the server's own packets carry.
    """

    sequence: int
    echo: int = 0
    is_open: bool = False
    answers_by_sequence: dict[int, bytes] = field(default_factory=dict)


class BackendServer:
    """One backend server, from its start to its end, at one address.

    Attributes:
        leaving_since: Time at which its entry in the store was changed to
            draining, None before.
        ended_at: Time at which it ended, None while it runs.
        reset_flows: Flows that this server has reset.
    """

    def __init__(
        self, name: str, service: str, clock: RunClock, observations: RunObservations
    ) -> None:
        """Sets up a server without flows.

        Args:
            name: Identifier that ends in the server's number, in hexadecimal.
            service: Name of the service that it serves.
            clock: Clock of the run.
            observations: Counts the requests that are run.
        """
        self.name = name
        self.service = service
        self.started_at_ms = clock.time_ms()
        self.leaving_since: float | None = None
        self.ended_at: float | None = None
        self.reset_flows: set[FlowKey] = set()
        self.flow_by_key: dict[FlowKey, _ServerFlow] = {}
        self._clock = clock
        self._observations = observations

    @property
    def backend_number(self) -> int:
        """Number that prefixes the packets for this server."""
        return int(self.name.rpartition('-')[2], 16)

    def handle_packet(self, packet: bytes, send: Callable[[Endpoint, bytes], None]) -> bool:
        """Processes a packet.

        Args:
            packet: Packet without the prefixed server number.
            send: Sends a packet to a caller.

        Returns:
            True if it is the first opening segment of its flow.
        """
        length, flags, *endpoint_fields = PACKET_HEADER.unpack_from(packet)[:6]
        _, sequence, acknowledged, echo = PACKET_HEADER.unpack_from(packet)[6:]
        flow_key = (endpoint_fields[0], endpoint_fields[1], endpoint_fields[2], endpoint_fields[3])
        service = Endpoint(_format_ip(endpoint_fields[0]), endpoint_fields[1])
        caller = Endpoint(_format_ip(endpoint_fields[2]), endpoint_fields[3])

        existing = self.flow_by_key.get(flow_key)
        if existing is not None:
            existing.echo = echo

        def send_answer(answer_flags: int, answer_sequence: int, data: bytes = b'') -> None:
            held = self.flow_by_key.get(flow_key)
            header_fields = (
                answer_sequence % _SEQUENCE_SPACE,
                (sequence + max(length, 1)) % _SEQUENCE_SPACE,
                held.echo if held else echo,
            )
            send(caller, pack_packet(answer_flags, service, caller, header_fields, data))

        if flags & SYN and existing is not None:
            # A copy of an opening segment opens nothing.
            send_answer(SYN | ACK, existing.sequence)
            return False
        if flags & SYN:
            first_sequence = self.backend_number * _INITIAL_SEQUENCE_STEP % _SEQUENCE_SPACE
            flow = _ServerFlow(first_sequence, echo)
            self.flow_by_key[flow_key] = flow
            self._answer_opening(
                flow, lambda: send_answer(SYN | ACK, flow.sequence), _OPENING_REPEATED_AFTER_S
            )
            return True
        if existing is None:
            if not flags & FIN:
                self.reset_flows.add(flow_key)
                send_answer(RST, 0)
            return False
        if not existing.is_open and acknowledged != (existing.sequence + 1) % _SEQUENCE_SPACE:
            if flow_key in self._observations.open_flows and not flags & FIN:
                self.reset_flows.add(flow_key)
                send_answer(RST, 0)
            return False
        existing.is_open = True
        self._observations.open_flows.add(flow_key)
        if flags & FIN:
            self.flow_by_key.pop(flow_key)
        elif length:
            self._handle_request(existing, sequence, packet[PACKET_HEADER.size :], send_answer)
        return False

    def _answer_opening(
        self, flow: _ServerFlow, send: Callable[[], None], repeated_after_s: tuple[float, ...]
    ) -> None:
        """Answers an opening segment, and again until the handshake is complete."""
        if flow.is_open or self.ended_at is not None:
            return
        send()
        if repeated_after_s:
            asyncio.get_running_loop().call_later(
                repeated_after_s[0], self._answer_opening, flow, send, repeated_after_s[1:]
            )

    def _handle_request(
        self,
        flow: _ServerFlow,
        sequence: int,
        data: bytes,
        send_answer: Callable[[int, int, bytes], None],
    ) -> None:
        """Runs a request once; answers a retransmission with the stored answer, if there is one."""
        if sequence in flow.answers_by_sequence:
            stored_answer = flow.answers_by_sequence[sequence]
            if stored_answer:
                send_answer(ACK, flow.sequence + 1, stored_answer)
            return
        request, work_ms = data.split()
        self._observations.runs_by_request[int(request)] += 1
        flow.answers_by_sequence[sequence] = b''

        def finish() -> None:
            answer = b'%s by %s' % (request, self.name.encode())
            flow.answers_by_sequence[sequence] = answer
            if self.ended_at is None:
                send_answer(ACK, flow.sequence + 1, answer)

        asyncio.get_running_loop().call_later(int(work_ms) / 1000, finish)


class ServerAddress:
    """An address and the server that currently uses it.

    While there is one, liveness checks are answered; otherwise the connections are refused.
    """

    def __init__(
        self,
        endpoint: Endpoint,
        caller_port: int,
        transmit: Callable[[Endpoint, Callable[[], None]], None],
        transmit_answer: Callable[[Callable[[], None]], None],
        on_opening: Callable[[int, BackendServer, Endpoint, bool], None],
    ) -> None:
        """Opens the socket.

        Args:
            endpoint: Address at which packets arrive.
            caller_port: Port at which callers receive packets.
            transmit: Passes a packet over the link from its sender to this address.
            transmit_answer: Passes a packet over the link from this address to callers.
            on_opening: Called for each opening segment with the service port, the
                server, the sender and whether it is the flow's first one there.
        """
        self.endpoint = endpoint
        self._server: BackendServer | None = None
        self._health_port: HealthPort | None = None
        self._caller_port = caller_port
        self._on_opening = on_opening
        self._socket = UdpSocket(endpoint, self._handle_datagram)
        self._transmit = transmit
        self._transmit_answer = transmit_answer

    @property
    def server(self) -> BackendServer | None:
        """The server at the address, None while there is none."""
        return self._server

    @server.setter
    def server(self, server: BackendServer | None) -> None:
        self._server = server
        if server is None:
            self._close_health_port()
        elif self._health_port is None:
            self._health_port = HealthPort(self.endpoint)

    def close(self) -> None:
        """Closes the sockets."""
        self._close_health_port()
        self._socket.close()

    def _close_health_port(self) -> None:
        if self._health_port is not None:
            self._health_port.close()
            self._health_port = None

    def _handle_datagram(self, datagram: bytes, source: Endpoint) -> None:
        self._transmit(source, lambda: self._deliver(datagram, source))

    def _deliver(self, datagram: bytes, source: Endpoint) -> None:
        server = self.server
        target_number = int.from_bytes(datagram[:_BACKEND_NUMBER_BYTES], 'big')
        if server is None or target_number not in {0, server.backend_number}:
            return
        packet = datagram[_BACKEND_NUMBER_BYTES:]
        is_first = server.handle_packet(packet, self._send)
        _, flags, _, port = PACKET_HEADER.unpack_from(packet)[:4]
        if flags & SYN:
            self._on_opening(port, server, source, is_first)

    def _send(self, caller: Endpoint, packet: bytes) -> None:
        target = Endpoint(caller.ip, self._caller_port)
        self._transmit_answer(lambda: self._socket.send(packet, target))


def _format_ip(number: int) -> str:
    return str(IPv4Address(number))
