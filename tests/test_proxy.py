"""Tests of PROXY protocol v2 headers."""

from contextlib import suppress
from itertools import product

from hypothesis import given, settings
from hypothesis import strategies as st
from testtools import TestCase
from testtools.matchers import Equals

from berylstair.errors import DecodeError
from berylstair.ids import AttemptId, Endpoint
from berylstair.proxy import (
    AttemptHeaderTemplate,
    HeaderDecoder,
    HeaderTemplate,
    Tlv,
    pack_header,
    split_datagram,
)

ROUTES = (
    (Endpoint('198.51.100.7', 40000), Endpoint('10.0.0.1', 5683)),
    (Endpoint('2001:db8::7', 40000), Endpoint('2001:db8::1', 5683)),
)


class ProxyTest(TestCase):
    """Templates produce the library's encoding, and decoding reverses it."""

    def test_templates_match_the_library_encoding(self) -> None:
        for caller, address in ROUTES:
            with self.subTest(caller=caller):
                other = Endpoint(caller.ip[:-1] + '9', 1234)
                plain = HeaderTemplate(caller, address, {Tlv.SERVICE: b'desk'})
                packed = pack_header(other, address, {Tlv.SERVICE: b'desk'})
                self.assertThat(plain.fill(other), Equals(packed))
                attempt = AttemptHeaderTemplate(caller, address, b'desk')
                tlvs = {
                    Tlv.ATTEMPT: b'attempt1',
                    Tlv.DEADLINE_MS: (1500).to_bytes(4, 'big'),
                    Tlv.SERVICE: b'desk',
                }
                filled = attempt.fill(other, AttemptId(b'attempt1'), 1500)
                self.assertThat(filled, Equals(pack_header(other, address, tlvs)))

    def test_cached_header_keeps_caller_and_attempt_apart(self) -> None:
        for caller, address in ROUTES:
            with self.subTest(caller=caller):
                decoder = HeaderDecoder()
                template = AttemptHeaderTemplate(caller, address, b'desk')
                for number in range(3):
                    sent = Endpoint(caller.ip, 1000 + number)
                    attempt = AttemptId(b'attempt' + str(number).encode())
                    raw, payload = split_datagram(template.fill(sent, attempt, number) + b'x')
                    header = decoder.decode(raw)
                    self.assertThat((header.caller, header.address), Equals((sent, address)))
                    self.assertThat(header.tlvs[Tlv.ATTEMPT], Equals(attempt))
                    self.assertThat(header.tlvs[Tlv.DEADLINE_MS], Equals(number.to_bytes(4, 'big')))
                    self.assertThat(header.tlvs[Tlv.SERVICE], Equals(b'desk'))
                    self.assertThat(payload, Equals(b'x'))

    def test_cached_headers_keep_service_addresses_apart(self) -> None:
        for (caller, address), tlvs in product(ROUTES, ({}, {Tlv.SERVICE: b'desk'})):
            others = (
                address,
                Endpoint(address.ip, address.port + 1),
                Endpoint(address.ip[:-1] + '2', address.port),
            )
            decoder = HeaderDecoder()
            for sent in (*others, *others):
                with self.subTest(caller=caller, sent=sent, tlvs=tlvs):
                    header = decoder.decode(pack_header(caller, sent, tlvs))
                    self.assertThat((header.caller, header.address), Equals((caller, sent)))

    @settings(derandomize=True, deadline=None, max_examples=300)
    @given(st.binary(max_size=80))
    def test_malformed_input_raises_only_decode_errors(self, data: bytes) -> None:
        start = pack_header(*ROUTES[0], {})[:16]
        for datagram in (data, start + data):
            with suppress(DecodeError):
                HeaderDecoder().decode(split_datagram(datagram)[0])
