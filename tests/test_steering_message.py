"""Tests of datagrams from peers: whatever arrives, the instance goes on."""

from contextlib import suppress
from typing import Any

import cbor2
from hypothesis import given, settings
from hypothesis import strategies as st
from testtools import TestCase
from testtools.matchers import Equals, GreaterThan, LessThan

from berylstair.errors import DecodeError
from berylstair.steering_message import (
    STEERING_CODEC,
    ColdVote,
    ColdVoteRequest,
    DirectoryChangeRow,
    DirectoryReply,
    DirectoryRequest,
    DirectoryUpdate,
    FleetHeartbeat,
    LeaseReport,
    LeaseRow,
    MemberRow,
    OfferNoticeBatch,
    OfferNoticeRow,
    PeerLost,
    PlacementReplyBatch,
    PlacementReplyRow,
    PlacementRequestBatch,
    PlacementRequestRow,
    ReleaseBatch,
    ReleaseRow,
)
from emulator.simulation import SERVICE, SimulatedWorld

FLOW = bytes(12)
BACKEND = 'i-0001'
PEER_IP = '10.0.0.2'
RECEIVER_IP = '10.0.0.1'
MESSAGES: tuple[Any, ...] = (
    FleetHeartbeat(
        'entry-2',
        'zone-0',
        5,
        1,
        3,
        7,
        101_000,
        100_500,
        99_000,
        False,
        900,
        2,
        True,
        (MemberRow('entry-3', 'z', '10.0.0.3'),),
    ),
    PeerLost('entry-3', 7),
    ColdVoteRequest(101_000, (SERVICE, 'other')),
    ColdVote(101_000, (SERVICE, 'other')),
    PlacementRequestBatch(
        (PlacementRequestRow(FLOW, SERVICE, 'status', 5, 5, 250, 1, 4000, b'abcd'),)
    ),
    PlacementReplyBatch((PlacementReplyRow(FLOW, SERVICE, 1, BACKEND, 0),)),
    ReleaseBatch((ReleaseRow(FLOW, SERVICE, 1),)),
    LeaseReport(SERVICE, (LeaseRow(FLOW, BACKEND, 'status', 20),)),
    OfferNoticeBatch((OfferNoticeRow(FLOW, SERVICE),)),
    DirectoryRequest(1, 3),
    DirectoryReply(2, 9, (DirectoryChangeRow('servers/i-0001', 2, 9, True, b'', 5, 4, False),)),
    DirectoryUpdate(1, 3, 2, 9, (DirectoryChangeRow('config', 2, 9, False, b'{}', 0, 7, True),)),
)
ODD_VALUES = (
    st.integers(-3, 5)
    | st.integers()
    | st.text(max_size=80)
    | st.binary(max_size=9)
    | st.booleans()
    | st.none()
)


def paths_in(nested: Any) -> list[tuple[int, ...]]:
    """Returns the path of each value in nested lists, that of the whole included."""
    if not isinstance(nested, list):
        return [()]
    inner = [(index, *path) for index, value in enumerate(nested) for path in paths_in(value)]
    return [(), *inner]


def replace_value(nested: Any, path: tuple[int, ...], value: Any) -> Any:
    """Returns nested lists with the value at a path replaced."""
    if not path:
        return value
    copied = list(nested)
    copied[path[0]] = replace_value(nested[path[0]], path[1:], value)
    return copied


ENCODED_MESSAGES = tuple(cbor2.loads(STEERING_CODEC.encode(message)) for message in MESSAGES)
ALTERATIONS = tuple((loaded, path) for loaded in ENCODED_MESSAGES for path in paths_in(loaded))


def nest_shared_lists(depth: int) -> bytes:
    """Returns a short message whose type number is a huge list of shared lists."""
    nested: list[Any] = []
    for _ in range(depth):
        nested = [nested, nested]
    return cbor2.dumps([nested, 1], value_sharing=True)


ODD_MESSAGES = {
    'deep arrays': b'\x81' * 60_000 + b'\x00',
    'deep maps': b'\xa1\x00' * 30_000 + b'\x00',
    'deep tags': b'\xc1' * 60_000 + b'\x00',
    'bytes longer than any memory': b'\x5b\x7f' + b'\xff' * 7,
    'array longer than any memory': b'\x9b\x7f' + b'\xff' * 7,
    'fraction with denominator 0': b'\xd8\x1e\x82\x01\x00',
    'time out of range': b'\xc1\x1b' + b'\xff' * 8,
    'decimal out of range': b'\xc4\x82\x1b' + b'\x7f' * 8 + b'\x01',
    'pattern that does not compile': b'\xd8\x23\x61(',
    'reference to itself': b'\xd8\x1c\x81\xd8\x1d\x00',
    'reference to nothing': b'\xd8\x1d\x05',
    'unhashable key': b'\xa1\x80\x00',
    'huge number': cbor2.dumps([1 << 60_000]),
    'shared lists': nest_shared_lists(60),
}


class BrokenMessageTest(TestCase):
    """Handlers take any message that the decoder lets pass."""

    def make_world(self) -> SimulatedWorld:
        """Starts three instances that know each other."""
        world = SimulatedWorld()
        world.add_route()
        world.add_servers(3)
        world.run(2)
        return world

    def test_round_trip(self) -> None:
        for message in MESSAGES:
            with self.subTest(message=message):
                decoded = STEERING_CODEC.decode(STEERING_CODEC.encode(message))
                self.assertThat(decoded, Equals(message))

    def test_unknown_numbers_and_addresses_are_refused(self) -> None:
        for message in (
            PlacementReplyBatch((PlacementReplyRow(FLOW, SERVICE, 9, BACKEND, 0),)),
            ReleaseBatch((ReleaseRow(FLOW, SERVICE, 0),)),
            PeerLost('entry-3', 1 << 70),
            LeaseReport(SERVICE, (LeaseRow(FLOW, BACKEND, 'status', 1 << 1100),)),
        ):
            with self.subTest(message=message):
                data = STEERING_CODEC.encode(message)
                self.assertRaises(DecodeError, STEERING_CODEC.decode, data)

    def test_an_odd_message_raises_a_short_decode_error(self) -> None:
        for name, data in ODD_MESSAGES.items():
            with self.subTest(name=name):
                error = self.assertRaises(DecodeError, STEERING_CODEC.decode, data)
                self.assertThat(len(str(error)), LessThan(300))

    def test_a_member_without_an_ip_address_is_refused(self) -> None:
        for ip in ('', 'entry-9', '10.0.0', '\x00', 'a' * 300):
            world = self.make_world()
            steering = world.steering_by_ip[RECEIVER_IP]
            member = MemberRow('entry-9', 'zone-0', ip)
            heartbeat = FleetHeartbeat(
                'entry-2', 'zone-0', 5, 1, 3, 1, 10, 5, 0, False, 9, 9, False, (member,)
            )
            steering.handle_message(PEER_IP, heartbeat, world.now)
            with self.subTest(ip=ip):
                self.assertThat(steering.core.fleet.find_endpoint('entry-9'), Equals(None))
                refusals = sum(steering.core.counters.refusals.values())
                self.assertThat(refusals, GreaterThan(0))

    @settings(derandomize=True, deadline=None, max_examples=400)
    @given(st.lists(st.tuples(st.sampled_from(ALTERATIONS), ODD_VALUES), min_size=8, max_size=16))
    def test_an_altered_message_is_refused_or_handled(self, alterations: list[Any]) -> None:
        world = self.make_world()
        steering = world.steering_by_ip[RECEIVER_IP]
        for (loaded, path), value in alterations:
            try:
                altered = STEERING_CODEC.decode(cbor2.dumps(replace_value(loaded, path, value)))
            except DecodeError:
                continue
            steering.handle_message(PEER_IP, altered, world.now)
            for action in steering.take_actions():
                if hasattr(action, 'message'):
                    STEERING_CODEC.encode(action.message)
            steering.run_timers(world.now + 1)

    @settings(derandomize=True, deadline=None, max_examples=300)
    @given(st.binary(max_size=80), st.sampled_from(MESSAGES), st.integers(0, 200))
    def test_arbitrary_bytes_raise_only_decode_error(
        self, junk: bytes, message: Any, position: int
    ) -> None:
        data = STEERING_CODEC.encode(message)
        for altered in (junk, data[:position] + junk + data[position:], data[: position % 40]):
            with suppress(DecodeError):
                STEERING_CODEC.decode(altered)
