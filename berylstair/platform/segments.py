"""Segment codec for the platform's packets."""

from berylstair.ids import BackendId
from berylstair.platform.packet import decode_segment, encapsulate, encode_reset
from berylstair.segment import Segment
from berylstair.steering_ports import SegmentCodec

__all__ = ['PlatformSegments']


class PlatformSegments(SegmentCodec):
    """Encodes and decodes segments as packets of the platform."""

    def decode(self, data: bytes) -> Segment:
        """Decodes a caller's packet."""
        return decode_segment(data)

    def encapsulate(self, segment: Segment, backend: BackendId, tag: int) -> bytes:
        """Encapsulates a segment for a backend server."""
        return encapsulate(segment, backend, tag)

    def encode_reset(self, segment: Segment, sequence: int) -> bytes:
        """Encodes a reset for the sender of a segment."""
        return encode_reset(segment, sequence)
