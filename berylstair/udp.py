"""Opens UDP sockets."""

import socket

from berylstair.ids import Endpoint

__all__ = ['MAX_DATAGRAMS_PER_READ', 'MAX_DATAGRAM_BYTES', 'open_udp_socket']

MAX_DATAGRAMS_PER_READ = 64
MAX_DATAGRAM_BYTES = 65536
SOCKET_BUFFER_BYTES = 4 << 20


def open_udp_socket(endpoint: Endpoint) -> socket.socket:
    """Opens a non-blocking UDP socket.

    Args:
        endpoint: Address to bind.

    Returns:
        The bound socket.
    """
    family = socket.AF_INET6 if ':' in endpoint.ip else socket.AF_INET
    sock = socket.socket(family, socket.SOCK_DGRAM)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SOCKET_BUFFER_BYTES)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, SOCKET_BUFFER_BYTES)
    sock.setblocking(False)
    sock.bind(endpoint)
    return sock
