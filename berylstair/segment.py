"""Transport segments of flows whose backend servers answer the caller directly."""

from socket import inet_ntoa
from typing import NamedTuple

from berylstair.ids import Endpoint, FlowKey

__all__ = ['SEQUENCE_SPACE', 'Segment', 'service_address']

SEQUENCE_SPACE = 1 << 32
_CALLER_IP = slice(0, 4)
_CALLER_PORT = slice(4, 6)
_SERVICE_IP = slice(6, 10)
_SERVICE_PORT = slice(10, 12)


class Segment(NamedTuple):
    """One datagram from a caller, parsed as far as steering needs it.

    Attributes:
        flow: Caller's and service's address and port, 12 bytes.
        is_opening: First segment of a flow (SYN without ACK).
        is_closing: The caller has nothing more to send (FIN).
        is_reset: The caller aborted the flow (RST).
        sequence: Sequence number of the segment's first byte.
        acknowledged: Next byte that the caller expects; in an opening segment,
            how many times the caller has sent it before.
        tag: Backend server's tag, as the caller last received it.
        data: The whole datagram.
        data_length: Bytes of the caller's data in it, which tells a request from an
            acknowledgement.
    """

    flow: FlowKey
    is_opening: bool
    is_closing: bool
    is_reset: bool
    sequence: int
    acknowledged: int
    tag: int
    data: bytes
    data_length: int = 0

    @property
    def caller(self) -> Endpoint:
        """Address and port of the caller."""
        return Endpoint(
            inet_ntoa(self.flow[_CALLER_IP]), int.from_bytes(self.flow[_CALLER_PORT], 'big')
        )

    @property
    def address(self) -> Endpoint:
        """Service address and port that the caller uses."""
        return service_address(self.flow)


def service_address(flow: FlowKey) -> Endpoint:
    """Returns the service address and port of a flow."""
    return Endpoint(inet_ntoa(flow[_SERVICE_IP]), int.from_bytes(flow[_SERVICE_PORT], 'big'))
