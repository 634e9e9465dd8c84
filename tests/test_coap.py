"""Tests of decoding and encoding CoAP messages."""

from aiocoap import ACK, CON, NON, Message
from aiocoap.numbers.codes import Code
from aiocoap.optiontypes import BlockOption
from hypothesis import given, settings
from hypothesis import strategies as st
from testtools import TestCase
from testtools.matchers import Equals

from berylstair.coap import (
    DatagramKind,
    classify_datagram,
    decode_request,
    decode_request_header,
    encode_error_response,
    rewrite_response,
)
from berylstair.errors import ERROR_RESPONSE_BY_KIND, DecodeError, ErrorKind


def encode_request(**fields: object) -> bytes:
    """Returns an encoded request."""
    defaults = {'_mtype': CON, '_mid': 7, '_token': b'tk', 'code': Code.GET}
    return Message(**{**defaults, **fields}).encode()


class CoapTest(TestCase):
    """Requests are decoded, responses are matched and rewritten."""

    def test_datagrams_are_classified(self) -> None:
        table = (
            (encode_request(), DatagramKind.REQUEST),
            (encode_request(_mtype=ACK, code=Code.CONTENT), DatagramKind.RESPONSE),
            (b'\x60\x00\x00\x07', DatagramKind.EMPTY),
            (b'\x60\x01\x00\x07', DatagramKind.MALFORMED),
            (b'\x00\x01\x00\x07', DatagramKind.MALFORMED),
            (b'\x49\x01\x00\x07123456789', DatagramKind.MALFORMED),
            (b'\x44\x01\x00\x0712', DatagramKind.MALFORMED),
            (b'', DatagramKind.MALFORMED),
        )
        for datagram, kind in table:
            with self.subTest(datagram=datagram):
                self.assertThat(classify_datagram(datagram), Equals(kind))

    def test_block_number(self) -> None:
        message = Message(_mtype=CON, _mid=7, _token=b'tk', code=Code.GET, uri_path=('maps', 'n'))
        message.opt.block2 = BlockOption.BlockwiseTuple(5, False, 6)
        decoded = decode_request(message.encode())
        self.assertThat((decoded.path, decoded.block_number), Equals(('/maps/n', 5)))

    def test_response_takes_type_and_message_id_of_the_request(self) -> None:
        table = ((CON, ACK, 7), (NON, NON, 7))
        for request_type, response_type, mid in table:
            with self.subTest(request_type=request_type):
                header = decode_request_header(encode_request(_mtype=request_type))
                separate = encode_request(_mtype=CON, _mid=99, code=Code.CONTENT)
                relayed = Message.decode(rewrite_response(separate, header).datagram)
                self.assertThat((relayed.mtype, relayed.mid), Equals((response_type, mid)))

    def test_response_to_another_request_is_refused(self) -> None:
        header = decode_request_header(encode_request())
        for datagram in (
            encode_request(code=Code.CONTENT, _token=b'xx'),
            encode_request(),
            b'\x60\x00\x00\x07',
        ):
            with self.subTest(datagram=datagram):
                self.assertRaises(DecodeError, rewrite_response, datagram, header)

    def test_every_answered_kind_encodes(self) -> None:
        for kind, response in ERROR_RESPONSE_BY_KIND.items():
            with self.subTest(kind=kind):
                encoded = encode_error_response(
                    decode_request_header(encode_request()), response, kind.value, 3
                )
                decoded = Message.decode(encoded)
                self.assertThat(int(decoded.code), Equals(response.code))
                self.assertThat(decoded.token, Equals(b'tk'))

    def test_only_an_overload_advises_a_retry(self) -> None:
        kinds_with_advice = {
            kind for kind, response in ERROR_RESPONSE_BY_KIND.items() if response.has_retry_advice
        }
        self.assertThat(
            kinds_with_advice,
            Equals(
                {
                    ErrorKind.NO_BACKEND,
                    ErrorKind.OVERLOADED,
                    ErrorKind.QUEUE_EXPIRED,
                    ErrorKind.SHED,
                },
            ),
        )

    @settings(derandomize=True, deadline=None, max_examples=500)
    @given(st.binary(max_size=60))
    def test_arbitrary_input_raises_only_decode_error(self, data: bytes) -> None:
        if classify_datagram(data) is not DatagramKind.REQUEST:
            return
        try:
            decode_request(data)
        except DecodeError:
            return
