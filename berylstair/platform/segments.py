"""Segments as the platform's packets."""

from berylstair.ids import BackendId
from berylstair.platform.packet import decode_segment, encapsulate, encode_reset
from berylstair.segment import Segment
from berylstair.steering_ports import SegmentCodec

__all__ = ['PlatformSegments']


class PlatformSegments(SegmentCodec):
    """Reads and writes the platform's packets."""

    def decode(self, data: bytes) -> Segment:
        """Decodes a packet."""
        return decode_segment(data)

    def encapsulate(self, segment: Segment, backend: BackendId, tag: int) -> bytes:
        """Packs a packet for a backend server."""
        return encapsulate(segment, backend, tag)

    def encode_reset(self, segment: Segment, sequence: int) -> bytes:
        """Packs a reset."""
        return encode_reset(segment, sequence)
