"""Runs a fleet of steering instances as processes, with backend servers and callers.

Every instance has a loopback address of its own, because the platform uses the
same ports on all machines.
"""

import json
import os
import signal
import socket
import struct
import subprocess
import sys
import threading
import time
from pathlib import Path
from tempfile import TemporaryDirectory
from types import TracebackType
from typing import Any, Self
from urllib.request import urlopen

from berylstair.ids import Endpoint
from berylstair.udp import MAX_DATAGRAM_BYTES, open_udp_socket
from emulator.cluster import wait_until
from emulator.health_port import HealthPort
from emulator.platform_pages import (
    SERVICE_IP,
    make_configuration,
    make_route,
    make_server_entry,
    make_settings,
)
from emulator.platform_store import PlatformStore
from emulator.udp import find_free_ports

__all__ = ['PlatformBackendServer', 'PlatformCaller', 'PlatformFleet', 'pack_packet']

PACKET_HEADER = struct.Struct('<HB5xIHIHIIII')
SYN = 2
RST = 4
FIN = 16
ACK = 128
DEFAULT_SERVICE_PORT = 443
CALLER_IP_PREFIX = '127.99.0'
RESPONSE_DATA = b'HTTP/1.1 200 OK\r\n\r\nvalve map'
READY_S = 20.0


def _ip_to_int(ip: str) -> int:
    return int.from_bytes(socket.inet_aton(ip), 'big')


def pack_packet(
    flags: int,
    source: Endpoint,
    target: Endpoint,
    sequence_fields: tuple[int, int, int],
    data: bytes,
) -> bytes:
    """Packs a packet of a flow.

    Args:
        flags: Sum of ``SYN``, ``RST``, ``FIN`` and ``ACK``.
        source: Sender of the packet.
        target: Receiver of the packet.
        sequence_fields: Sequence number, acknowledged number and echo.
        data: Payload after the header.
    """
    return (
        PACKET_HEADER.pack(
            len(data),
            flags,
            _ip_to_int(target.ip),
            target.port,
            _ip_to_int(source.ip),
            source.port,
            0,
            *sequence_fields,
        )
        + data
    )


class PlatformBackendServer:
    """A backend server on a thread that answers callers directly.

    Attributes:
        opening_count: Opening segments received.
        misrouted_packets: Packets received of flows that it does not hold.
        run_count_by_caller: Requests run, by the caller's IP address and port.
        is_dead: Whether it drops all packets, as a frozen one does; it goes on accepting
            connections.
    """

    def __init__(self, name: str, endpoint: Endpoint, caller_port: int) -> None:
        """Opens the socket and starts the thread.

        Args:
            name: Id of the server; a hexadecimal number follows its last dash.
            endpoint: Where it receives packets (UDP).
            caller_port: Port at which callers receive packets.
        """
        self.name = name
        self.endpoint = endpoint
        self.opening_count = 0
        self.misrouted_packets = 0
        self.run_count_by_caller: dict[tuple[str, int], int] = {}
        self.is_dead = False
        self._caller_port = caller_port
        self._backend_number = int(name.rpartition('-')[2], 16)
        self._open_flows: set[tuple[int, int]] = set()
        self._socket = open_udp_socket(endpoint)
        self._socket.setblocking(True)
        self._health_port = HealthPort(endpoint)
        threading.Thread(target=self._serve, daemon=True).start()

    def close(self) -> None:
        """Closes the socket, which ends the thread."""
        self.is_dead = True
        self._health_port.close()
        self._socket.close()

    def _serve(self) -> None:
        while True:
            try:
                datagram = self._socket.recv(MAX_DATAGRAM_BYTES)
            except OSError:
                return
            recipient_number = int.from_bytes(datagram[:8], 'big')
            if not self.is_dead and recipient_number in {0, self._backend_number}:
                self._handle_packet(datagram[8:])

    def _handle_packet(self, packet: bytes) -> None:
        length, flags = PACKET_HEADER.unpack_from(packet)[:2]
        service, port, caller, caller_port = PACKET_HEADER.unpack_from(packet)[2:6]
        sequence, _, echo = PACKET_HEADER.unpack_from(packet)[7:]
        source = Endpoint(socket.inet_ntoa(service.to_bytes(4, 'big')), port)
        target = Endpoint(socket.inet_ntoa(caller.to_bytes(4, 'big')), caller_port)
        flow = (caller, caller_port)
        if flags & SYN:
            self.opening_count += 1
            self._open_flows.add(flow)
            self._send(
                target, pack_packet(SYN | ACK, source, target, (1000, sequence + 1, echo), b'')
            )
        elif flow not in self._open_flows:
            self.misrouted_packets += 1
            self._send(target, pack_packet(RST, source, target, (0, 0, echo), b''))
        elif length:
            caller_address = (target.ip, target.port)
            self.run_count_by_caller[caller_address] = (
                self.run_count_by_caller.get(caller_address, 0) + 1
            )
            sequence_fields = (1001, sequence + length, echo)
            self._send(target, pack_packet(ACK, source, target, sequence_fields, RESPONSE_DATA))

    def _send(self, target: Endpoint, data: bytes) -> None:
        self._socket.sendto(data, (target.ip, self._caller_port))


class PlatformCaller:
    """A caller that opens flows and waits for responses."""

    def __init__(self, number: int, caller_port: int) -> None:
        """Opens the caller's socket.

        Args:
            number: Last byte of the caller's IP address.
            caller_port: Port at which callers receive packets.
        """
        self.ip = f'{CALLER_IP_PREFIX}.{number}'
        self._socket = open_udp_socket(Endpoint(self.ip, caller_port))
        self._socket.settimeout(0.2)
        self._last_port = 40000

    def close(self) -> None:
        """Closes the socket."""
        self._socket.close()

    def send_request(
        self, instance: Endpoint, later_instance: Endpoint | None = None, max_attempts: int = 8
    ) -> bytes | None:
        """Sends one request in a flow of its own.

        Args:
            instance: Where the opening segment goes.
            later_instance: Where the other segments go; if None, to ``instance``.
            max_attempts: Copies of a segment sent before giving up.

        Returns:
            The response, ``b'RST'`` for a reset, or None if there was no reply.
        """
        self._last_port += 1
        source = Endpoint(self.ip, self._last_port)
        opening = self._send_until_reply(instance, source, SYN, (1, 0, 0), b'', max_attempts)
        if opening is None or opening[0] & RST:
            return b'RST' if opening else None
        acknowledged, echo = opening[1] + 1, opening[2]
        later_endpoint = later_instance or instance
        self._socket.sendto(
            pack_packet(ACK, source, self._service, (2, acknowledged, echo), b''), later_endpoint
        )
        response = self._send_until_reply(
            later_endpoint, source, ACK, (2, acknowledged, echo), b'GET /', max_attempts
        )
        if response is None or response[0] & RST:
            return b'RST' if response else None
        sequence_fields = (7, acknowledged + len(response[3]), response[2])
        self._socket.sendto(
            pack_packet(ACK | FIN, source, self._service, sequence_fields, b''), later_endpoint
        )
        return response[3]

    @property
    def _service(self) -> Endpoint:
        return Endpoint(SERVICE_IP, DEFAULT_SERVICE_PORT)

    def _send_until_reply(
        self,
        instance: Endpoint,
        source: Endpoint,
        flags: int,
        sequence_fields: tuple[int, int, int],
        data: bytes,
        max_attempts: int,
    ) -> tuple[int, int, int, bytes] | None:
        for retransmission_count in range(max_attempts):
            if flags == SYN:
                sequence_fields = (sequence_fields[0], retransmission_count, 0)
            self._socket.sendto(
                pack_packet(flags, source, self._service, sequence_fields, data), instance
            )
            reply = self._receive_reply(source.port, bool(data))
            if reply is not None:
                return reply
        return None

    def _receive_reply(self, port: int, expects_data: bool) -> tuple[int, int, int, bytes] | None:
        deadline = time.monotonic() + 0.2
        while time.monotonic() < deadline:
            try:
                packet = self._socket.recv(MAX_DATAGRAM_BYTES)
            except TimeoutError:
                return None
            length, flags, _, to_port = PACKET_HEADER.unpack_from(packet)[:4]
            sequence, _, echo = PACKET_HEADER.unpack_from(packet)[7:]
            is_expected = bool(length) == expects_data or flags & RST
            if to_port == port and is_expected:
                return flags, sequence, echo, packet[PACKET_HEADER.size :]
        return None


class PlatformFleet:
    """A context manager for a store, instances, backend servers and callers."""

    def __init__(self, instances: int = 3, servers: int = 3, subnet: int = 60) -> None:
        """Starts the store; the rest starts on entering the context.

        Args:
            instances: Number of instances, each a process.
            servers: Number of backend servers.
            subnet: Third byte of the loopback addresses, which keeps the fleets
                of different tests apart.
        """
        self._subnet = subnet
        self._temp_directory = TemporaryDirectory()
        self.ports = find_free_ports(6)
        self.store = PlatformStore(Endpoint('127.0.0.1', 0))
        self.process_by_number: dict[int, subprocess.Popen[bytes]] = {}
        self.servers: list[PlatformBackendServer] = []
        self.callers: list[PlatformCaller] = []
        self._instance_count = instances
        self._server_count = servers

    def __enter__(self) -> Self:
        """Starts servers and instances and waits until all instances are ready."""
        self.publish_routes(1)
        for number in range(self._server_count):
            self.add_server(number)
        for number in range(self._instance_count):
            self.start_instance(number)
        for number in range(self._instance_count):
            self.wait_until_ready(number)
        return self

    def __exit__(
        self,
        _kind: type[BaseException] | None,
        _error: BaseException | None,
        _trace: TracebackType | None,
    ) -> None:
        """Ends all processes and threads, closes the sockets and removes the files."""
        for process in self.process_by_number.values():
            if process.poll() is None:
                process.kill()
            process.wait()
            if process.stdout is not None:
                process.stdout.close()
        for server in self.servers:
            server.close()
        for caller in self.callers:
            caller.close()
        self.store.close()
        self._temp_directory.cleanup()

    def add_caller(self) -> PlatformCaller:
        """Adds a caller, which is closed with the fleet."""
        caller = PlatformCaller(len(self.callers) + 1 + self._subnet, self.ports[0])
        self.callers.append(caller)
        return caller

    def instance_ip(self, number: int) -> str:
        """Returns the IP address of an instance."""
        return f'127.0.{self._subnet}.{number + 1}'

    def packet_endpoint(self, number: int) -> Endpoint:
        """Returns the endpoint at which an instance receives packets."""
        return Endpoint(self.instance_ip(number), self.ports[0])

    def start_instance(self, number: int, source: Endpoint | None = None) -> None:
        """Starts an instance.

        Args:
            number: Index of the instance, from 0.
            source: Endpoint through which it reads the store; if None, the store's own.
        """
        path = Path(self._temp_directory.name) / f'node-{number}.json'
        path.write_text(json.dumps(self._make_settings(number, source)), encoding='utf-8')
        log = path.with_suffix('.log').open('ab')
        self.process_by_number[number] = subprocess.Popen(
            (sys.executable, '-m', 'berylstair.platform'),
            env=dict(os.environ, BERYLSTAIR_NODE_FILE=str(path)),
            stdout=log,
        )
        log.close()

    def read_log(self, number: int) -> str:
        """Returns the log of an instance, over all of its starts."""
        path = Path(self._temp_directory.name) / f'node-{number}.log'
        return path.read_text(encoding='utf-8')

    def send_signal(self, number: int, signal_number: signal.Signals) -> None:
        """Sends a signal to an instance."""
        self.process_by_number[number].send_signal(signal_number)

    def is_ready(self, number: int) -> bool:
        """Returns whether an instance is ready, asking over HTTP as the fabric does."""
        try:
            with urlopen(
                f'http://{self.instance_ip(number)}:{self.ports[1]}/berylstair/ready', timeout=1
            ) as response:
                return response.status == 200
        except OSError:
            return False

    def wait_until_ready(self, number: int) -> None:
        """Waits until an instance is ready."""
        wait_until(lambda: self.is_ready(number), f'instance {number} is ready')

    def fetch_metrics(self, number: int) -> str:
        """Fetches the metrics of an instance as text."""
        url = f'http://{self.instance_ip(number)}:9464/metrics'
        with urlopen(url, timeout=2) as response:
            return response.read().decode()

    def add_server(self, number: int) -> PlatformBackendServer:
        """Starts and registers a server."""
        name = f'i-{number + 1:08x}'
        endpoint = Endpoint(f'127.1.{self._subnet}.{number + 1}', self.ports[4])
        server = PlatformBackendServer(name, endpoint, self.ports[0])
        self.servers.append(server)
        self.write_server_entry(server, 'ready')
        return server

    def wait_for_revision(self, revision: int) -> None:
        """Waits until the logs of all instances show a revision of the store in force."""
        log_text = f'revision={revision} '
        for number in self.process_by_number:
            wait_until(
                lambda instance=number: log_text in self.read_log(instance),
                f'instance {number} logged {log_text}',
            )

    def write_server_entry(
        self, server: PlatformBackendServer, state: str, **overrides: Any
    ) -> int:
        """Writes a server's entry and returns its revision."""
        entry = make_server_entry('mapserve', server.endpoint, state)
        return self.store.put(f'servers/{server.name}', entry | overrides)

    def publish_routes(self, version: int, port: int = DEFAULT_SERVICE_PORT) -> int:
        """Publishes a configuration with one route and returns its revision."""
        routes = [make_route('valve-map', 'mapserve', port)]
        return self.store.put('op/config', make_configuration(version, routes))

    def _make_settings(self, number: int, source: Endpoint | None) -> dict[str, Any]:
        packets, ready, control, peers, *_ = self.ports
        ports = {'packets': packets, 'ready': ready, 'control': control, 'peers': peers}
        settings = make_settings(
            f'front-{number + 1}', 'tame-side', self.instance_ip(number), ports
        )
        seeds = [f'{self.instance_ip(0)}:{control}']
        return settings | {
            'seeds': seeds,
            'platform': {'address': str(source or self.store.endpoint)},
        }
