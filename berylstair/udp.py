"""Opens UDP sockets, and reads datagrams with the time that they waited."""

import socket
from collections.abc import Callable, Iterator
from contextlib import suppress
from struct import Struct

from berylstair.ids import Endpoint
from berylstair.serving import boot_clock

__all__ = [
    'MAX_DATAGRAMS_PER_READ',
    'MAX_DATAGRAM_BYTES',
    'ArrivalClock',
    'StampedReader',
    'open_udp_socket',
]

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


class ArrivalClock:
    """Turns the kernel's arrival stamps, which are times of day, into waits.

    The time of day may be set, and a process may have another one than the kernel, so
    only the difference between stamps and the boot clock counts: the least one seen is
    that of a datagram that did not wait.
    """

    def __init__(self) -> None:
        """Starts without a difference; the first datagram counts as one that did not wait."""
        self._least_difference_s: float | None = None

    def wait_s(self, stamp: float, read_at: float, emptied_at: float) -> float | None:
        """Returns how long a datagram waited.

        Args:
            stamp: Arrival, as a time of day in seconds.
            read_at: When it was read, on the boot clock.
            emptied_at: When the socket was last seen empty, on the boot clock.

        Returns:
            Seconds; None if the stamp puts the arrival before ``emptied_at``, as after
            the time of day was set back.
        """
        difference_s = read_at - stamp
        least_s = self._least_difference_s
        if least_s is None or difference_s < least_s:
            self._least_difference_s = difference_s
            return 0.0
        if difference_s - least_s > read_at - emptied_at:
            self._least_difference_s = difference_s
            return None
        return difference_s - least_s


class StampedReader:
    """Reads datagrams with the time that each waited at this machine."""

    def __init__(self, sock: socket.socket, clock: Callable[[], float] = boot_clock) -> None:
        """Asks the kernel to stamp the datagrams of a socket at their arrival."""
        self._socket = sock
        self._clock = clock
        self._arrivals = ArrivalClock()
        self._emptied_at = clock()
        # Without stamps, the wait is unknown.
        with suppress(OSError):
            sock.setsockopt(socket.SOL_SOCKET, _SO_TIMESTAMPNS, 1)

    def receive(self) -> Iterator[tuple[bytes, float | None]]:
        """Yields the datagrams that have arrived, up to ``MAX_DATAGRAMS_PER_READ``.

        Yields:
            Each datagram, and the seconds that it waited, None if unknown.
        """
        for _ in range(MAX_DATAGRAMS_PER_READ):
            called_at = self._clock()
            try:
                data, control, _flags, _sender = self._socket.recvmsg(
                    MAX_DATAGRAM_BYTES, _CONTROL_BYTES
                )
            except BlockingIOError:
                self._emptied_at = called_at
                return
            except OSError:
                # The error is an ICMP report about an earlier datagram, which is lost.
                continue
            stamp = _find_stamp(control)
            if stamp is None:
                yield data, None
            else:
                yield data, self._arrivals.wait_s(stamp, self._clock(), self._emptied_at)


def _find_stamp(control: list[tuple[int, int, bytes]]) -> float | None:
    for level, kind, timespec in control:
        if (level, kind) == (socket.SOL_SOCKET, _SO_TIMESTAMPNS) and len(
            timespec
        ) == _TIMESPEC.size:
            seconds, nanoseconds = _TIMESPEC.unpack(timespec)
            return float(seconds + nanoseconds * _S_PER_NS)
    return None
