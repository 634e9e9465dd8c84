"""Opens UDP sockets, and reads datagrams with the time of their arrival."""

import socket
import time
from collections.abc import Iterator
from contextlib import suppress
from struct import Struct

from berylstair.ids import Endpoint

__all__ = ['MAX_DATAGRAMS_PER_READ', 'MAX_DATAGRAM_BYTES', 'open_udp_socket', 'receive_stamped']

MAX_DATAGRAMS_PER_READ = 64
MAX_DATAGRAM_BYTES = 65536
SOCKET_BUFFER_BYTES = 4 << 20
# Number of Linux's option SO_TIMESTAMPNS, and of its control message, which the socket module
# does not name; the same on x86-64 and arm64.
_SO_TIMESTAMPNS = 35
# Seconds and nanoseconds of the time of day.
_TIMESPEC = Struct('@ll')
_CONTROL_BYTES = socket.CMSG_SPACE(_TIMESPEC.size)
_S_PER_NS = 1e-9


def open_udp_socket(endpoint: Endpoint, stamps_arrivals: bool = False) -> socket.socket:
    """Opens a non-blocking UDP socket.

    Args:
        endpoint: Address to bind.
        stamps_arrivals: Whether the kernel is to stamp each datagram at its arrival.

    Returns:
        The bound socket.
    """
    family = socket.AF_INET6 if ':' in endpoint.ip else socket.AF_INET
    sock = socket.socket(family, socket.SOCK_DGRAM)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SOCKET_BUFFER_BYTES)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, SOCKET_BUFFER_BYTES)
    if stamps_arrivals:
        # Without stamps, the age of a datagram is unknown.
        with suppress(OSError):
            sock.setsockopt(socket.SOL_SOCKET, _SO_TIMESTAMPNS, 1)
    sock.setblocking(False)
    sock.bind(endpoint)
    return sock


def receive_stamped(sock: socket.socket) -> Iterator[tuple[bytes, float | None]]:
    """Yields the datagrams that have arrived, up to ``MAX_DATAGRAMS_PER_READ``.

    Args:
        sock: Socket that was opened with ``stamps_arrivals``.

    Yields:
        Each datagram, and the seconds since its arrival. These are None without a stamp,
        or if the clock was set back since.
    """
    for _ in range(MAX_DATAGRAMS_PER_READ):
        try:
            data, control, _flags, _sender = sock.recvmsg(MAX_DATAGRAM_BYTES, _CONTROL_BYTES)
        except BlockingIOError:
            return
        except OSError:
            # The error is an ICMP report about an earlier datagram, which is lost.
            continue
        yield data, _waited_s(control)


def _waited_s(control: list[tuple[int, int, bytes]]) -> float | None:
    for level, kind, stamp in control:
        if (level, kind) == (socket.SOL_SOCKET, _SO_TIMESTAMPNS) and len(stamp) == _TIMESPEC.size:
            seconds, nanoseconds = _TIMESPEC.unpack(stamp)
            waited_s = time.time() - seconds - nanoseconds * _S_PER_NS
            return waited_s if waited_s >= 0 else None
    return None
