"""Encodes and decodes the platform's packets."""

from string import hexdigits
from struct import Struct
from typing import NamedTuple

from berylstair.errors import DecodeError
from berylstair.ids import BackendId, FlowKey
from berylstair.segment import SEQUENCE_SPACE, Segment

__all__ = ['backend_number', 'decode_segment', 'encapsulate', 'encode_reset']

# Fields: len, flags, pad, dst, dport, src, sport, sum, seq, ack, echo. The platform
# writes addresses and ports as little-endian integers.
_HEADER = Struct('<HB5xIHIHIIII')
_ECHO = Struct('<I')
_ECHO_OFFSET = 32
_FLOW_KEY = Struct('>IHIH')
_FLAG_SYN = 2
_FLAG_RST = 4
_FLAG_FIN = 16
_FLAG_ACK = 128
_BACKEND_ID = Struct('>Q')
_HEX_BASE = 16


class _Header(NamedTuple):
    """Fields of the header; addresses are integers.

    Attributes:
        length: Bytes of data after the header.
        checksum: Computed with a key of the platform, so only the platform can
            verify it.
    """

    length: int
    flags: int
    target: int
    target_port: int
    source: int
    source_port: int
    checksum: int
    sequence: int
    acknowledged: int
    echo: int


def decode_segment(data: bytes) -> Segment:
    """Decodes a caller's packet.

    Args:
        data: One datagram.

    Returns:
        The segment.

    Raises:
        DecodeError: The packet is shorter than a header, or does not have the
            length that its header says.
    """
    if len(data) < _HEADER.size:
        raise DecodeError(f'{len(data)} bytes are too few for a packet header')
    header = _Header._make(_HEADER.unpack_from(data))
    if header.length != len(data) - _HEADER.size:
        raise DecodeError(
            f'{len(data)} bytes in all, but {header.length} bytes of data according to the header'
        )
    flags = header.flags
    return Segment(
        FlowKey(
            _FLOW_KEY.pack(header.source, header.source_port, header.target, header.target_port)
        ),
        flags & (_FLAG_SYN | _FLAG_ACK) == _FLAG_SYN,
        bool(flags & _FLAG_FIN),
        bool(flags & _FLAG_RST),
        header.sequence,
        header.acknowledged,
        header.echo,
        data,
        header.length,
    )


def encapsulate(segment: Segment, backend: BackendId, tag: int) -> bytes:
    """Encapsulates a segment for a backend server.

    Args:
        segment: Segment from a caller.
        backend: The only server that accepts the packet. If the id is not a
            hexadecimal number, any server accepts it.
        tag: The server's tag, which both ends echo in their later packets.

    Returns:
        The datagram.
    """
    data = segment.data
    if segment.tag != tag:
        echo = _ECHO.pack(tag)
        data = data[:_ECHO_OFFSET] + echo + data[_ECHO_OFFSET + len(echo) :]
    return _BACKEND_ID.pack(backend_number(backend)) + data


def encode_reset(segment: Segment, sequence: int) -> bytes:
    """Encodes a reset in answer to a caller's segment.

    Args:
        segment: Segment from the caller.
        sequence: Sequence number of the reset.

    Returns:
        The datagram for the caller.
    """
    caller, caller_port, service, service_port = _FLOW_KEY.unpack(segment.flow)
    return _HEADER.pack(
        0,
        _FLAG_RST,
        caller,
        caller_port,
        service,
        service_port,
        0,
        sequence % SEQUENCE_SPACE,
        0,
        0,
    )


def backend_number(backend: BackendId) -> int:
    """Returns the number that addresses a backend server; 0 addresses any."""
    digits = ''.join(digit for digit in backend if digit in hexdigits)
    return int(digits or '0', _HEX_BASE) % (1 << 64)
