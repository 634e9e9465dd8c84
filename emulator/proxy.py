"""Fault-injecting proxy between entry instances and their peers, servers and platform."""

import asyncio
from fnmatch import fnmatch
from random import Random
from typing import Any

from berylstair.ids import Endpoint, parse_endpoint
from emulator.faults import Faults, Link
from emulator.udp import UdpSocket

__all__ = ['FaultProxy']

_CHUNK_BYTES = 65536


class _UdpRelay:
    """Relays datagrams between one listening port and one target."""

    def __init__(self, listen: Endpoint, target: Endpoint, link: Link) -> None:
        self._target = target
        self._link = link
        self._socket_by_source: dict[Endpoint, UdpSocket] = {}
        self._listener = UdpSocket(listen, self._handle_datagram)

    def _handle_datagram(self, datagram: bytes, source: Endpoint) -> None:
        sock = self._socket_by_source.get(source)
        if sock is None:

            def handle_response(payload: bytes, _source: Endpoint) -> None:
                self._link.transmit(lambda: self._listener.send(payload, source))

            sock = UdpSocket(Endpoint('127.0.0.1', 0), handle_response)
            self._socket_by_source[source] = sock
        self._link.transmit(lambda: sock.send(datagram, self._target))


class _TcpRelay:
    """Relays TCP connections; a blocked link aborts open and new ones."""

    def __init__(self, target: Endpoint, link: Link) -> None:
        self._target = target
        self._link = link
        self._writers: set[asyncio.StreamWriter] = set()

    def abort_connections(self) -> None:
        """Aborts all open connections."""
        for writer in list(self._writers):
            writer.transport.abort()

    async def accept(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        """Relays one connection in both directions."""
        if self._link.faults.is_blocked:
            writer.transport.abort()
            return
        try:
            target_reader, target_writer = await asyncio.open_connection(*self._target)
        except OSError:
            writer.transport.abort()
            return
        pair = {writer, target_writer}
        self._writers |= pair
        await asyncio.gather(
            self._relay(reader, target_writer),
            self._relay(target_reader, writer),
        )
        self._writers -= pair

    async def _relay(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while data := await reader.read(_CHUNK_BYTES):
                await asyncio.sleep(self._link.faults.delay_ms[0] / 1000)
                writer.write(data)
                await writer.drain()
        except OSError:
            pass  # noqa: WPS420 the connection has ended
        writer.close()


class FaultProxy:
    """Relays of a cluster, grouped by link, such as ``tame-side-1->avon-side-1``."""

    def __init__(self, seed: int) -> None:
        """Creates a proxy without relays; each link derives its random seed from ``seed``."""
        self._seed = seed
        self._link_by_name: dict[str, Link] = {}
        self._tcp_relays_by_name: dict[str, list[_TcpRelay]] = {}

    async def add_relay(self, protocol: str, name: str, listen: str, target: str) -> None:
        """Starts a relay.

        Args:
            protocol: ``udp`` or ``tcp``.
            name: Name of the link; relays of one link share its faults.
            listen: Endpoint to listen on.
            target: Endpoint to relay to.
        """
        link = self._link_by_name.setdefault(name, Link(Random(f'{self._seed}/{name}')))
        listen_endpoint, target_endpoint = parse_endpoint(listen), parse_endpoint(target)
        if protocol == 'udp':
            _UdpRelay(listen_endpoint, target_endpoint, link)
            return
        relay = _TcpRelay(target_endpoint, link)
        self._tcp_relays_by_name.setdefault(name, []).append(relay)
        await asyncio.start_server(relay.accept, listen_endpoint.ip, listen_endpoint.port)

    def set_faults(self, message: dict[str, Any]) -> int:
        """Sets the faults of all links whose name matches; returns their number."""
        faults = Faults(
            drop_ratio=message.get('drop', 0.0),
            duplicate_ratio=message.get('double', 0.0),
            delay_ms=tuple(message.get('delay_ms', (0.0, 0.0))),
            is_blocked=message.get('cut', False),
        )
        names = [name for name in self._link_by_name if fnmatch(name, message['links'])]
        for name in names:
            self._link_by_name[name].faults = faults
            if faults.is_blocked:
                for relay in self._tcp_relays_by_name.get(name, ()):
                    relay.abort_connections()
        return len(names)
