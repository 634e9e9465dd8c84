"""Tests of the encoding and decoding of the platform's packets."""

from testtools import TestCase
from testtools.matchers import Equals

from berylstair.errors import DecodeError
from berylstair.ids import BackendId, Endpoint
from berylstair.platform.packet import decode_segment, encapsulate, encode_reset

OPENING = bytes.fromhex(
    '00000200000000000100 12c6bb0107004064419cd5c3b2a14433221100000000 00000000'.replace(' ', '')
)
RESET = bytes.fromhex(
    '0000040000000000070040 64419c010012c6bb01000000000000000000000000 00000000'.replace(' ', '')
)


def packet(flags: int, length: int = 0, echo: int = 0) -> bytes:
    """Returns the opening packet with other flags, data and echo."""
    head = length.to_bytes(2, 'little') + bytes((flags,)) + OPENING[3:32]
    return head + echo.to_bytes(4, 'little') + bytes(length)


class PacketTest(TestCase):
    """Compares packets with the bytes given in the platform's documentation."""

    def test_an_opening_packet(self) -> None:
        segment = decode_segment(OPENING)
        self.assertThat(segment.caller, Equals(Endpoint('100.64.0.7', 40001)))
        self.assertThat(segment.address, Equals(Endpoint('198.18.0.1', 443)))
        self.assertThat(segment.sequence, Equals(0x11223344))
        self.assertThat((segment.is_opening, segment.tag), Equals((True, 0)))

    def test_a_reset_goes_back_to_the_caller(self) -> None:
        self.assertThat(encode_reset(decode_segment(OPENING), 0), Equals(RESET))

    def test_flags(self) -> None:
        # Flags; opening, closing, reset.
        cases = (
            (2, (True, False, False)),
            (2 | 128, (False, False, False)),
            (128, (False, False, False)),
            (16 | 128, (False, True, False)),
            (4, (False, False, True)),
        )
        for flags, expected in cases:
            segment = decode_segment(packet(flags))
            decoded = (segment.is_opening, segment.is_closing, segment.is_reset)
            self.assertThat(decoded, Equals(expected))

    def test_encapsulation_adds_backend_number_and_tag(self) -> None:
        cases = (
            ('i-7f3a91c2', 0x7F3A91C2),
            ('i-0000000000000001', 1),
            ('none', 0xE),
        )
        for backend, number in cases:
            data = encapsulate(decode_segment(OPENING), BackendId(backend), 0xAABBCCDD)
            self.assertThat(int.from_bytes(data[:8], 'big'), Equals(number))
            self.assertThat(data[8:40], Equals(OPENING[:32]))
            self.assertThat(data[40:44], Equals(bytes.fromhex('ddccbbaa')))

    def test_the_length_of_the_data(self) -> None:
        """Guards against acknowledgements that pass for retransmitted requests."""
        lengths = [decode_segment(packet(128, length)).data_length for length in (0, 1, 700)]
        self.assertThat(lengths, Equals([0, 1, 700]))

    def test_data_follows_unchanged(self) -> None:
        original = packet(128, length=5, echo=9)
        data = encapsulate(decode_segment(original), BackendId('i-1'), 9)
        self.assertThat(data[8:], Equals(original))

    def test_malformed_packets_are_refused(self) -> None:
        for data in (b'', OPENING[:35], OPENING + b'x', packet(128, 5)[:-1]):
            self.assertRaises(DecodeError, decode_segment, data)
