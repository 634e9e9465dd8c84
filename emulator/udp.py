"""UDP socket for asyncio with a callback for each datagram."""

import asyncio
import socket
from collections.abc import Callable
from random import Random

from berylstair.ids import Endpoint
from berylstair.udp import open_udp_socket

__all__ = ['UdpSocket', 'find_free_ports']

_MAX_DATAGRAMS_PER_READ = 64
_MAX_DATAGRAM_BYTES = 65536
# Below Linux's default range of ephemeral ports (32768 and up).
_PORT_RANGE = range(10_000, 32_000)


class UdpSocket:
    """A bound socket that calls ``on_datagram`` with each datagram and its source."""

    def __init__(self, endpoint: Endpoint, on_datagram: Callable[[bytes, Endpoint], None]) -> None:
        """Binds and starts reading on the running event loop."""
        self._socket = open_udp_socket(endpoint)
        self._on_datagram = on_datagram
        self.address = Endpoint(*self._socket.getsockname()[:2])
        asyncio.get_running_loop().add_reader(self._socket, self._read_datagrams)

    def send(self, datagram: bytes, target: Endpoint) -> None:
        """Sends a datagram; drops it if the socket is closed or cannot send now."""
        if self._socket.fileno() == -1:
            return
        try:
            self._socket.sendto(datagram, target)
        except (BlockingIOError, ConnectionRefusedError):
            return

    def close(self) -> None:
        """Stops reading and closes the socket."""
        asyncio.get_running_loop().remove_reader(self._socket)
        self._socket.close()

    def _read_datagrams(self) -> None:
        for _ in range(_MAX_DATAGRAMS_PER_READ):
            try:
                datagram, source = self._socket.recvfrom(_MAX_DATAGRAM_BYTES)
            except (BlockingIOError, ConnectionRefusedError):
                return
            except OSError:
                if self._socket.fileno() == -1:
                    return
                raise
            self._on_datagram(datagram, Endpoint(source[0], source[1]))


def find_free_ports(count: int) -> list[int]:
    """Returns ports that are free for both TCP and UDP on loopback.

    Args:
        count: Number of ports.

    Returns:
        Distinct port numbers in random order.
    """
    sockets: list[socket.socket] = []
    ports: list[int] = []
    candidates = iter(Random().sample(_PORT_RANGE, len(_PORT_RANGE)))
    while len(ports) < count:
        port = next(candidates)
        tcp = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        udp = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        sockets.extend((tcp, udp))
        try:
            tcp.bind(('127.0.0.1', port))
            udp.bind(('127.0.0.1', port))
        except OSError:
            continue
        ports.append(port)
    for sock in sockets:
        sock.close()
    return ports
