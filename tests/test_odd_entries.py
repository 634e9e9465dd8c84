"""Tests of odd entries among those of the backend servers: they name no server, the others hold."""

import json
from random import Random
from typing import Any

from hypothesis import given, settings
from hypothesis import strategies as st
from testtools import TestCase
from testtools.matchers import Equals, Not

from berylstair.catalogue import LogEvent
from berylstair.directory import START_POSITION, Position, SourceChange
from berylstair.directory_source import SourceListing
from berylstair.ids import Endpoint, InstanceId, ServiceName, ZoneId
from berylstair.platform.items import decode_change
from berylstair.shared_action import LogEntry
from berylstair.steering import SteeringInstance
from berylstair.steering_action import FetchDirectory, SendMessage, SendSegment
from berylstair.steering_links import MAX_MESSAGE_BYTES
from berylstair.steering_message import STEERING_CODEC
from berylstair.steering_settings import Capacity, SteeringSettings, TimeLimits
from emulator.odd_entries import ODD_ENTRIES, ODD_KEYS, ODD_VALUES
from emulator.platform_pages import make_configuration, make_route, make_server_entry

NOW = 100.0
ERA = 1
SERVICE = ServiceName('mapserve')
GOOD_KEY = 'servers/i-0000002a'
ODD_KEY = 'servers/i-00c0ffee'
GOOD_ENTRY = make_server_entry(SERVICE, Endpoint('10.1.0.1', 9000), 'ready')


def make_instance(name: str = 'entry-1', ip: str = '10.0.0.1') -> SteeringInstance:
    """Returns an instance that decodes the platform's items."""
    instance_settings = SteeringSettings(
        instance=InstanceId(name),
        zone=ZoneId('tame-side'),
        zones=(ZoneId('tame-side'),),
        packet_endpoint=Endpoint(ip, 8000),
        caller_port=8000,
        readiness_endpoint=Endpoint(ip, 8001),
        peer_endpoint=Endpoint(ip, 7000),
        metrics_endpoint=Endpoint(ip, 8002),
        seeds=(),
        source_endpoint=Endpoint('10.9.0.1', 80),
        capacity=Capacity(1.0, 1000.0),
        time_limits=TimeLimits(3.0, 3.0, 6.0, 60.0, 3.6),
    )
    return SteeringInstance(instance_settings, decode_change, Random(1), 1, NOW)


def make_changes(odd_key: str, odd_value: bytes) -> list[SourceChange]:
    """Returns an odd entry, and after it a server and a configuration."""
    routes = [make_route('valve-map', SERVICE, 443)]
    contents = (
        (odd_key, odd_value),
        (GOOD_KEY, json.dumps(GOOD_ENTRY).encode()),
        ('op/config', json.dumps(make_configuration(7, routes)).encode()),
    )
    return [
        SourceChange(key, Position(ERA, revision), value)
        for revision, (key, value) in enumerate(contents, start=1)
    ]


def list_changes(instance: SteeringInstance, changes: list[SourceChange]) -> None:
    """Lets an instance list the store."""
    listing = SourceListing(changes[-1].position, tuple(changes))
    instance.handle_listing(listing, True, NOW, NOW)


def accepting_ids(instance: SteeringInstance) -> list[str]:
    """Returns the ids of the servers that get new flows."""
    servers = instance.core.directory.accepting_servers(SERVICE, NOW)
    return [server.id for server in servers]


class OddEntryTest(TestCase):
    """What another writer left in the store, as one instance reads it and passes it on."""

    def check(self, odd_key: str, odd_value: bytes) -> None:
        """Checks what an instance and its peer hold after a listing with an odd entry."""
        reader, peer = make_instance(), make_instance('entry-2', '10.0.0.2')
        list_changes(reader, make_changes(odd_key, odd_value))
        reply = reader.directory_sync.encode_changes_after(Position(0, 0))
        encoded = STEERING_CODEC.encode(reply)
        self.assertThat(len(encoded) < MAX_MESSAGE_BYTES // 100, Equals(True))
        peer.directory_sync.apply_fetched_changes(
            STEERING_CODEC.decode(encoded),
            FetchDirectory(Endpoint('10.0.0.1', 7000), START_POSITION),
            NOW,
        )
        for instance in (reader, peer):
            directory = instance.core.directory
            self.assertThat(directory.position, Equals(Position(ERA, 3)))
            self.assertThat(directory.configuration_version, Equals(7))
            self.assertThat(accepting_ids(instance), Equals(['i-0000002a']))
            self.check_actions(instance)

    def check_actions(self, instance: SteeringInstance) -> None:
        """Checks that what an instance wants to do can be done."""
        for action in instance.take_actions():
            if isinstance(action, SendMessage):
                STEERING_CODEC.encode(action.message)
            elif isinstance(action, LogEntry):
                action.detail.encode()
                self.assertThat(action.event_number, Not(Equals(LogEvent.INTERNAL_FAULT)))
                self.assertThat(len(action.detail) < 1000, Equals(True))
            elif isinstance(action, SendSegment):
                self.fail('no caller has sent anything')

    def test_an_odd_entry_stops_no_instance_from_following(self) -> None:
        for name, odd_value in ODD_ENTRIES.items():
            with self.subTest(name=name):
                self.check(ODD_KEY, odd_value)

    def test_an_odd_entry_in_place_of_its_own_takes_a_server_out_of_use(self) -> None:
        for name, odd_value in ODD_ENTRIES.items():
            with self.subTest(name=name):
                instance = make_instance()
                list_changes(instance, make_changes(ODD_KEY, b'{}'))
                change = SourceChange(GOOD_KEY, Position(ERA, 9), odd_value)
                listing = SourceListing(change.position, (change,))
                instance.handle_listing(listing, False, NOW, NOW)
                self.assertThat(accepting_ids(instance), Equals([]))

    def test_an_odd_key_stops_no_instance_from_following(self) -> None:
        for odd_key in ODD_KEYS:
            with self.subTest(key=odd_key):
                self.check(odd_key, json.dumps(GOOD_ENTRY).encode())

    def test_an_odd_configuration_leaves_the_one_in_force(self) -> None:
        for name, odd_value in ODD_ENTRIES.items():
            with self.subTest(name=name):
                instance = make_instance()
                list_changes(instance, make_changes(ODD_KEY, b'{}'))
                change = SourceChange('op/config', Position(ERA, 9), odd_value)
                listing = SourceListing(change.position, (change,))
                instance.handle_listing(listing, False, NOW, NOW)
                directory = instance.core.directory
                self.assertThat(directory.configuration_version, Equals(7))
                self.assertThat(directory.position, Equals(Position(ERA, 9)))

    @settings(derandomize=True, deadline=None, max_examples=300)
    @given(st.sampled_from(sorted(GOOD_ENTRY)), st.sampled_from(ODD_VALUES), st.data())
    def test_any_odd_value_of_any_field(self, name: str, odd_value: Any, data: Any) -> None:
        junk = data.draw(
            st.recursive(st.none() | st.integers() | st.floats() | st.text(), st.lists)
        )
        for value in (odd_value, junk):
            entry = GOOD_ENTRY | {name: value}
            reader = make_instance()
            list_changes(reader, make_changes(ODD_KEY, json.dumps(entry).encode()))
            self.assertThat(reader.core.directory.position, Equals(Position(ERA, 3)))
            self.assertThat('i-0000002a' in accepting_ids(reader), Equals(True))
            reply = reader.directory_sync.encode_changes_after(Position(0, 0))
            self.assertThat(STEERING_CODEC.decode(STEERING_CODEC.encode(reply)), Equals(reply))
            self.check_actions(reader)
