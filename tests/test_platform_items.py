"""Tests of the decoding of the items of the platform's store."""

import json
from typing import Any

from testtools import TestCase
from testtools.matchers import Equals, IsInstance

from berylstair.directory import (
    ColdStart,
    ConfigurationPublished,
    Position,
    ServerListed,
    ServerRemoved,
    SourceChange,
    ZoneEvacuated,
    ZoneTakenBack,
)
from berylstair.errors import DecodeError
from berylstair.ids import Endpoint, ZoneId
from berylstair.platform.items import decode_change
from emulator.odd_entries import ODD_VALUES

POSITION = Position(1, 5)

ENTRY = {
    'service': 'huvo11a',
    'address': '10.128.0.9:8080',
    'zone': 'tame-side',
    'version': 'v1',
    'slots': 3,
    'state': 'ready',
    'cold_left_ms': 500,
    'seq': 4,
    'born': 1790555323530,
}
ROUTE = {
    'name': 'r-1',
    'host': '198.18.0.1',
    'prefix': '/8443/',
    'type': 'safe',
    'timeout_ms': 4000,
    'slo_ms': 250,
    'priority': 2,
    'service': 'huvo11a',
    'max_attempts': 2,
}


def decode_server(text: bytes | None) -> Any:
    """Decodes the entry of a server."""
    return decode_change(SourceChange('servers/i-7f3a91c2', POSITION, text))


def decode_services(services: Any) -> Any:
    """Decodes a configuration with one route and a value in place of its services."""
    published = {'version': 7, 'routes': [ROUTE], 'services': services}
    return decode_change(SourceChange('op/config', POSITION, json.dumps(published).encode()))


def decode_configuration(**changed: Any) -> Any:
    """Decodes a configuration with one route."""
    published = {'version': 7, 'routes': [ROUTE | changed], 'limits': {'idle_timeout_ms': 12000}}
    return decode_change(SourceChange('op/config', POSITION, json.dumps(published).encode()))


class ServerEntryTest(TestCase):
    """Entries of backend servers."""

    def test_a_complete_entry(self) -> None:
        change = decode_server(json.dumps(ENTRY).encode())
        self.assertThat(change, IsInstance(ServerListed))
        registration = change.registration
        self.assertThat(registration.server.address, Equals(Endpoint('10.128.0.9', 8080)))
        self.assertThat(
            (registration.service, registration.started_at_ms), Equals(('huvo11a', 1790555323530))
        )
        self.assertThat(
            (registration.warmup_left_s, registration.server.is_accepting), Equals((0.5, True))
        )

    def test_malformed_entries_decode_as_removals(self) -> None:
        broken = (
            {'state': 'resting'},
            {'slots': '3'},
            {'slots': True},
            {'slots': 0},
            {'address': 'host:80'},
            {'service': None},
            {'zone': 4},
            {'born': 1.5},
        )
        for change in broken:
            self.assertThat(
                decode_server(json.dumps(ENTRY | change).encode()), IsInstance(ServerRemoved)
            )
        for name in ENTRY:
            partial = {key: ENTRY[key] for key in ENTRY if key != name}
            self.assertThat(decode_server(json.dumps(partial).encode()), IsInstance(ServerRemoved))
        for text in (b'', b'\xff\x00', b'[]', b'7', b'"x"', None):
            self.assertThat(decode_server(text), IsInstance(ServerRemoved))

    def test_a_draining_server_takes_no_new_flow(self) -> None:
        change = decode_server(json.dumps(ENTRY | {'state': 'draining'}).encode())
        self.assertThat(change.registration.server.is_accepting, Equals(False))


class EvacuationTest(TestCase):
    """Items that evacuate a zone: the key counts, not the value."""

    def test_any_value_evacuates_and_a_removal_takes_back(self) -> None:
        # Guards against an evacuation that is ignored because of what stands in the item.
        zone = ZoneId('tame-side')
        for value in (b'{}', b'', b'null', b'false', b'\xff\x00', b'[' * 100_000):
            change = decode_change(SourceChange('op/evacuate/tame-side', POSITION, value))
            self.assertThat(change, Equals(ZoneEvacuated(zone)))
        change = decode_change(SourceChange('op/evacuate/tame-side', POSITION, None))
        self.assertThat(change, Equals(ZoneTakenBack(zone)))

    def test_every_zone_that_an_entry_can_name_can_be_evacuated(self) -> None:
        # Guards against a zone whose servers are in use although its item is there.
        names = ('a/b', 'a/', '/a', ' ', 'a b', 'zone-\u00e9', '..', 'x' * 200, 'op/evacuate/')
        for name in (*names, '', 'a\nb', '\u00a0', '\ud800', 'x' * 201):
            entry = decode_server(json.dumps(ENTRY | {'zone': name}).encode())
            is_usable = isinstance(entry, ServerListed)
            item = decode_change(SourceChange(f'op/evacuate/{name}', POSITION, b'{}'))
            with self.subTest(name=name):
                self.assertThat(is_usable, Equals(name in names))
                self.assertThat(item, Equals(ZoneEvacuated(ZoneId(name)) if is_usable else None))

    def test_similar_keys_evacuate_nothing(self) -> None:
        for key in ('op/evacuate', 'op/evacuated/tame-side', 'OP/evacuate/a', 'op/evacuate/'):
            change = decode_change(SourceChange(key, POSITION, b'{}'))
            self.assertThat(change, Equals(None))


class ConfigurationTest(TestCase):
    """The operator's configuration."""

    def test_a_route(self) -> None:
        change = decode_configuration()
        self.assertThat(change, IsInstance(ConfigurationPublished))
        route = change.configuration.route_by_address[Endpoint('198.18.0.1', 8443)]
        properties = (route.timeout_s, route.latency_target_s, route.is_idempotent, route.priority)
        self.assertThat(properties, Equals((4.0, 0.25, True, 2)))
        self.assertThat(change.configuration.idle_timeout_s, Equals(12.0))

    def test_route_types_and_service_weights(self) -> None:
        cases = (('safe', True), ('download', True), ('unsafe', False))
        for kind, is_idempotent in cases:
            change = decode_configuration(type=kind)
            route = next(iter(change.configuration.route_by_address.values()))
            self.assertThat(route.is_idempotent, Equals(is_idempotent))
        split = [{'service': 'a', 'weight': 90}, {'service': 'b', 'weight': 10}]
        change = decode_configuration(split=split)
        route = next(iter(change.configuration.route_by_address.values()))
        self.assertThat(route.weight_by_service, Equals({'a': 90.0, 'b': 10.0}))

    def test_paths_of_liveness_checks(self) -> None:
        """Guards against a broken entry that makes a configuration invalid or splits a request."""
        entries = [
            {'name': 'a', 'health_path': '/health'},
            {'name': 'b'},
            {'name': 'c', 'health_path': '/x HTTP/1.1\r\nX: y'},
            {'name': 'd', 'health_path': 'health'},
            {'name': 'e', 'health_path': '/a b'},
            {'name': 'f', 'health_path': '/\u00e9'},
            {'name': 'g', 'health_path': 7},
            {'name': 8, 'health_path': '/health'},
            'h',
            None,
        ]
        for services, expected in ((entries, {'a': '/health'}), (None, {}), ('x', {}), ({}, {})):
            published = {'version': 7, 'routes': [ROUTE], 'services': services}
            text = json.dumps(published).encode()
            change = decode_change(SourceChange('op/config', POSITION, text))
            self.assertThat(change.configuration.health_path_by_service, Equals(expected))

    def test_an_unreadable_configuration(self) -> None:
        for text in (b'', b'{}', b'{"version": 1, "routes": [{}]}'):
            change = SourceChange('op/config', POSITION, text)
            self.assertRaises(DecodeError, decode_change, change)

    def test_other_keys_are_ignored(self) -> None:
        self.assertThat(decode_change(SourceChange('my/leader', POSITION, b'x')), Equals(None))


class ServicesTest(TestCase):
    """What the configuration states about services; no value of it refuses the routes."""

    def test_the_cold_start_of_a_service(self) -> None:
        service = {'name': 'huvo11a', 'health_path': '/health', 'max_conns': 2000}
        cold = service | {'cold_start_s': 20, 'cold_per_s': 0.0}
        cases: tuple[tuple[Any, Any], ...] = (
            (cold, {'huvo11a': ColdStart(20.0, 0.0)}),
            (cold | {'cold_per_s': 7}, {'huvo11a': ColdStart(20.0, 7.0)}),
            (service, {}),
            (service | {'cold_start_s': 20}, {}),
            (service | {'cold_per_s': 0.0}, {}),
        )
        for entry, expected in cases:
            configuration = decode_services([entry]).configuration
            self.assertThat(dict(configuration.cold_by_service), Equals(expected))

    def test_an_invalid_value_states_no_rate_and_keeps_the_configuration(self) -> None:
        valid = {'name': 'other', 'cold_start_s': 5.0, 'cold_per_s': 1.5}
        entry = {'name': 'huvo11a', 'cold_start_s': 20.0, 'cold_per_s': 2.0}
        for key in ('cold_start_s', 'cold_per_s'):
            for value in (*(odd for odd in ODD_VALUES if str(odd) != '1.5'), '3', -0.1):
                change = decode_services([entry | {key: value}, valid])
                with self.subTest(key=key, value=str(value)[:20]):
                    self.assertThat(change, IsInstance(ConfigurationPublished))
                    self.assertThat(
                        change.configuration.cold_by_service, Equals({'other': ColdStart(5.0, 1.5)})
                    )

    def test_odd_values_in_place_of_services_or_of_an_entry(self) -> None:
        for value in ODD_VALUES:
            for services in (value, [value], [{'name': value, 'cold_per_s': 1, 'cold_start_s': 1}]):
                change = decode_services(services)
                with self.subTest(services=str(services)[:20]):
                    self.assertThat(change, IsInstance(ConfigurationPublished))
                    self.assertThat(len(change.configuration.route_by_address), Equals(1))
