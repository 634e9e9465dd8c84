"""UDP sockets of a steering instance, and the interface of the segments' wire format."""

import math
import socket
import time
from abc import ABC, abstractmethod
from collections.abc import Iterator

from berylstair.catalogue import LogEvent
from berylstair.counter import Counters, Traffic
from berylstair.errors import DecodeError, ErrorKind
from berylstair.ids import BackendId, Endpoint
from berylstair.linelog import LineLog
from berylstair.segment import Segment
from berylstair.steering_action import ResetCaller, SendMessage, SendSegment
from berylstair.steering_message import STEERING_CODEC
from berylstair.steering_settings import SteeringSettings
from berylstair.udp import (
    MAX_DATAGRAM_BYTES,
    MAX_DATAGRAMS_PER_READ,
    StampedReader,
    open_udp_socket,
)

__all__ = ['SegmentCodec', 'SteeringSockets']

# Many datagrams in a row may be broken; one line per interval tells enough.
REFUSAL_LOG_INTERVAL_S = 1.0


class SegmentCodec(ABC):
    """Wire format of segments."""

    @abstractmethod
    def decode(self, data: bytes) -> Segment:
        """Decodes a caller's datagram.

        Raises:
            DecodeError: The datagram is not a segment.
        """

    @abstractmethod
    def encapsulate(self, segment: Segment, backend: BackendId, tag: int) -> bytes:
        """Encodes a segment for a backend server, with the tag of the server."""

    @abstractmethod
    def encode_reset(self, segment: Segment, sequence: int) -> bytes:
        """Encodes a reset for the sender of a segment."""


class SteeringSockets:
    """The sockets for traffic with the fabric, backend servers, callers and peers."""

    def __init__(
        self,
        settings: SteeringSettings,
        segments: SegmentCodec,
        counters: Counters,
        log: LineLog,
    ) -> None:
        """Opens the sockets.

        Args:
            settings: Endpoints to listen on, and the port of the callers.
            segments: Wire format of segments.
            counters: Counts traffic, and datagrams that cannot be decoded or sent.
            log: Takes a line about messages that cannot be decoded.
        """
        self._segments = segments
        self._counters = counters
        self._caller_port = settings.caller_port
        self._log = log
        self._refusal_logged_at = -math.inf
        self._cached_message: object = None
        self._cached_data = b''
        self.packet_socket = open_udp_socket(settings.packet_endpoint)
        self._packet_reader = StampedReader(self.packet_socket)
        self.peer_socket = open_udp_socket(settings.peer_endpoint)

    def read_segments(self) -> Iterator[tuple[Segment, float | None]]:
        """Yields the segments that have arrived, each with the time that it waited.

        The time is in seconds, and None where the kernel does not tell.
        """
        for data, waited_s in self._packet_reader.receive():
            try:
                yield self._segments.decode(data), waited_s
            except DecodeError:
                self._counters.record_refusal(ErrorKind.MALFORMED_DATAGRAM)

    def read_messages(self) -> Iterator[tuple[str, object]]:
        """Yields the messages that have arrived, each with the IP address of its sender."""
        for data, sender_ip in _receive_datagrams(self.peer_socket):
            try:
                yield sender_ip, STEERING_CODEC.decode(data)
            except DecodeError as error:
                self._refuse_message(sender_ip, error)

    def send_segment(self, action: SendSegment) -> None:
        """Sends a segment to a backend server."""
        data = self._segments.encapsulate(action.segment, action.server.id, action.tag)
        self._send(self.packet_socket, data, action.server.address)
        self._counters.record_traffic(Traffic.BACKEND_DATAGRAMS)

    def send_reset(self, action: ResetCaller) -> None:
        """Sends a reset to a caller."""
        data = self._segments.encode_reset(action.segment, action.sequence)
        caller = Endpoint(action.segment.caller.ip, self._caller_port)
        self._send(self.packet_socket, data, caller)

    def send_message(self, action: SendMessage) -> None:
        """Sends a message to a peer."""
        if action.message is not self._cached_message:
            # The same heartbeat goes to many peers in succession; it is encoded once.
            self._cached_message = action.message
            self._cached_data = STEERING_CODEC.encode(action.message)
        data = self._cached_data
        self._counters.record_traffic(Traffic.CONTROL_MESSAGES)
        self._counters.record_traffic(Traffic.CONTROL_BYTES, len(data))
        self._send(self.peer_socket, data, action.target)

    def close(self) -> None:
        """Closes the sockets."""
        self.packet_socket.close()
        self.peer_socket.close()

    def _refuse_message(self, sender_ip: str, error: DecodeError) -> None:
        """Counts a message that cannot be decoded, and logs one at an interval."""
        self._counters.record_refusal(ErrorKind.MALFORMED_MESSAGE)
        now = time.monotonic()
        if now - self._refusal_logged_at >= REFUSAL_LOG_INTERVAL_S:
            self._refusal_logged_at = now
            count = self._counters.refusals[ErrorKind.MALFORMED_MESSAGE]
            self._log.write(
                LogEvent.MESSAGE_REFUSED, f'peer={sender_ip} refused={count} fault="{error}"'
            )

    def _send(self, sock: socket.socket, data: bytes, target: Endpoint) -> None:
        """Sends a datagram; one that a full link refuses is dropped, as on the network."""
        try:
            sock.sendto(data, target)
        except OSError:
            self._counters.record_refusal(ErrorKind.SEND_FAILED)


def _receive_datagrams(sock: socket.socket) -> Iterator[tuple[bytes, str]]:
    for _ in range(MAX_DATAGRAMS_PER_READ):
        try:
            data, sender = sock.recvfrom(MAX_DATAGRAM_BYTES)
        except BlockingIOError:
            return
        except OSError:
            # The error is an ICMP report about an earlier datagram, which is lost.
            continue
        yield data, sender[0]
