"""Tests of the encoding of messages between instances."""

import cbor2
from hypothesis import given, settings
from hypothesis import strategies as st
from testtools import TestCase
from testtools.matchers import Equals

from berylstair.errors import DecodeError
from berylstair.message import (
    ClaimRequest,
    ClaimRow,
    Heartbeat,
    Hello,
    LoadRow,
    RecordReply,
    decode_message,
    encode_message,
)

MESSAGES = (
    Hello('n1', 5, 'a-side'),
    Heartbeat(5, b'digest', 2, 30, False, ('n2',), (LoadRow('desk', 's1', 2, 3),)),
    ClaimRequest('n2', 5, 3, (3, 2), (ClaimRow(b'id', 2),)),
    RecordReply(('{}',)),
)
INVALID_ENCODINGS = (
    b'',
    b'\xff\xff',
    cbor2.dumps({}),
    cbor2.dumps([]),
    cbor2.dumps([99]),
    cbor2.dumps(['0', 'n1', 5, 'a']),
    cbor2.dumps([0, 'n1', '5', 'a']),
    cbor2.dumps([0, 'n1', 5]),
    cbor2.dumps([0, 'n1', True, 'a']),
    cbor2.dumps([4, [1]]),
    cbor2.dumps([5, 'n2', 5, 3, [3], [[b'id']]]),
    b'\x9f' * 2000,
)


class MessageTest(TestCase):
    """Messages survive a round trip; other input is refused."""

    def test_round_trip(self) -> None:
        for message in MESSAGES:
            with self.subTest(message=message):
                self.assertThat(decode_message(encode_message(message)), Equals(message))

    def test_bad_input_is_refused(self) -> None:
        for data in INVALID_ENCODINGS:
            with self.subTest(data=data[:20]):
                self.assertRaises(DecodeError, decode_message, data)

    @settings(derandomize=True, deadline=None, max_examples=300)
    @given(st.binary(max_size=60))
    def test_arbitrary_input_raises_only_decode_error(self, data: bytes) -> None:
        try:
            decode_message(data)
        except DecodeError:
            return
