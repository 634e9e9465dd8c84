"""Tests of the directory of routes and backend servers."""

from dataclasses import replace

from testtools import TestCase
from testtools.matchers import Equals

from berylstair.directory import (
    ColdStart,
    Configuration,
    ConfigurationPublished,
    DecodedChange,
    Directory,
    Position,
    Route,
    ServerListed,
    ServerRegistration,
    ServerRemoved,
    SourceChange,
)
from berylstair.ids import BackendId, Endpoint, ServiceName, ZoneId
from berylstair.record import BackendServer, BackendState
from berylstair.tag import tag_of

MAX_FLOW_S = 60.0
SERVICE = ServiceName('reports-desk')
ADDRESS = Endpoint('198.18.0.1', 443)


def server_listed(
    name: str, state: BackendState = BackendState.ACTIVE, version: tuple[int, int] = (0, 0)
) -> ServerListed:
    """Returns the change of a server that registers, with the start time and number given."""
    address = Endpoint('10.1.0.1', 9000)
    server = BackendServer(BackendId(name), ZoneId('z'), address, 3, 2000, 3.0, state)
    return ServerListed(ServerRegistration(server, SERVICE, *version))


def configuration_published(version: int) -> ConfigurationPublished:
    """Returns the change of a configuration with one route."""
    route = Route(f'v{version}', ADDRESS, {SERVICE: 1.0}, True, 4.0, 0.25, 2)
    return ConfigurationPublished(Configuration(version, {ADDRESS: route}, 15.0))


def apply_change(
    directory: Directory,
    key: str,
    revision: int,
    change: DecodedChange,
    now: float = 0,
    grace_s: float = 0,
) -> bool:
    """Applies a change and returns whether it was newer."""
    return directory.apply(SourceChange(key, Position(1, revision), b'x'), change, now, grace_s)


class DirectoryTest(TestCase):
    """Changes by revision, servers that accept new flows, and lookups by tag."""

    def test_an_older_revision_changes_nothing(self) -> None:
        directory = Directory()
        apply_change(directory, 'config', 9, configuration_published(3))
        self.assertThat(
            apply_change(directory, 'config', 8, configuration_published(2)), Equals(False)
        )
        route = directory.find_route(ADDRESS)
        self.assertThat(route and route.name, Equals('v3'))

    def test_an_older_version_at_a_newer_revision_changes_nothing(self) -> None:
        directory = Directory()
        apply_change(directory, 'config', 8, configuration_published(3))
        apply_change(directory, 'config', 9, configuration_published(2))
        route = directory.find_route(ADDRESS)
        self.assertThat(route and route.name, Equals('v3'))

    def test_which_content_wins_after_a_restore(self) -> None:
        # Position, lifetime and number of the held content and of the other one; whether
        # the other one is adopted.
        cases = (
            ((1, 5), (100, 3), (1, 6), (100, 4), True),
            ((1, 9), (100, 7), (2, 5), (100, 3), False),
            ((1, 5), (100, 3), (2, 5), (100, 3), True),
            ((1, 9), (100, 7), (2, 6), (100, 8), True),
            ((1, 9), (200, 1), (2, 5), (100, 8), False),
            ((1, 9), (100, 8), (2, 5), (200, 1), True),
            ((1, 9), (200, 5), (1, 10), (100, 1), True),
            ((2, 5), (100, 3), (2, 5), (200, 1), True),
            ((1, 5), (100, 3), (1, 6), (100, 1), True),
        )
        for held_position, held_version, position, version, expected in cases:
            with self.subTest(held=(held_position, held_version), other=(position, version)):
                directory = Directory()
                held = server_listed('a', BackendState.LEAVING, held_version)
                directory.apply(SourceChange('s/a', Position(*held_position), b'x'), held, 0, 0)
                other = SourceChange('s/a', Position(*position), b'y')
                is_adopted = directory.apply(other, server_listed('a', version=version), 0, 0)
                self.assertThat(is_adopted, Equals(expected))
                self.assertThat(bool(directory.accepting_servers(SERVICE, 0)), Equals(expected))
                (change,) = directory.changes_after(Position(9, 9)) or [None]
                self.assertThat(change is not None, Equals(not expected))

    def test_contents_written_again_in_their_order_after_a_restore(self) -> None:
        directory = Directory()
        steps = (((1, 9), 9, True), ((2, 5), 3, False), ((2, 6), 6, False), ((2, 7), 10, True))
        for position, number, expected in steps:
            change = server_listed('a', version=(100, number))
            source_change = SourceChange('s/a', Position(*position), bytes([number]))
            is_adopted = directory.apply(source_change, change, 0, 0)
            self.assertThat((position, is_adopted), Equals((position, expected)))

    def test_a_content_that_the_source_lost_does_not_undo_a_later_removal(self) -> None:
        directory = Directory()
        held = server_listed('a', version=(100, 7))
        directory.apply(SourceChange('s/a', Position(2, 14), b'x'), held, 0, 0)
        removal = SourceChange('s/a', Position(2, 20), None)
        directory.apply(removal, ServerRemoved(BackendId('a')), 0, 0)
        lost = SourceChange('s/a', Position(2, 14), b'y', is_ahead=True)
        directory.apply(lost, server_listed('a', version=(100, 9)), 0, 0)
        self.assertThat(directory.accepting_servers(SERVICE, 0), Equals(()))

    def test_a_version_written_again_with_other_routes_is_in_force(self) -> None:
        directory = Directory()
        apply_change(directory, 'config', 9, configuration_published(2))
        other = configuration_published(2)
        other.configuration.route_by_address.clear()
        directory.apply(SourceChange('config', Position(2, 5), b'y'), other, 0, 0)
        self.assertThat(directory.find_route(ADDRESS), Equals(None))

    def test_a_removal_after_a_restore_removes_a_lost_content(self) -> None:
        directory = Directory()
        held = server_listed('a', version=(100, 50))
        directory.apply(SourceChange('s/a', Position(1, 16), b'x'), held, 0, 0)
        removal = SourceChange('s/a', Position(2, 14), None)
        directory.apply(removal, ServerRemoved(BackendId('a')), 0, 0)
        self.assertThat(directory.accepting_servers(SERVICE, 0), Equals(()))
        older = server_listed('a', version=(100, 40))
        directory.apply(SourceChange('s/a', Position(2, 15), b'y'), older, 0, 0)
        self.assertThat(directory.accepting_servers(SERVICE, 0), Equals(()))

    def test_which_servers_accept_new_flows(self) -> None:
        # State, whether removed, grace period, seconds after removal; whether accepting.
        cases = (
            (BackendState.ACTIVE, False, 0, 0, True),
            (BackendState.LEAVING, False, 0, 0, False),
            (BackendState.ACTIVE, True, 0, 0, False),
            (BackendState.ACTIVE, True, 2.0, 1.0, True),
            (BackendState.ACTIVE, True, 2.0, 2.1, False),
            (BackendState.LEAVING, True, 2.0, 1.0, False),
        )
        for state, is_removed, grace_s, after_s, expected in cases:
            directory = Directory()
            apply_change(directory, 's/a', 1, server_listed('a', state))
            apply_change(directory, 's/b', 2, server_listed('b'))
            if is_removed:
                apply_change(directory, 's/a', 3, ServerRemoved(BackendId('a')), 0, grace_s)
            names = {server.id for server in directory.accepting_servers(SERVICE, after_s)}
            self.assertThat('a' in names, Equals(expected))

    def test_servers_in_grace_share_load_with_one_that_returned(self) -> None:
        directory = Directory()
        for revision, name in enumerate('abc', start=1):
            apply_change(directory, f's/{name}', revision, server_listed(name))
        for revision, name in enumerate('abc', start=4):
            apply_change(directory, f's/{name}', revision, ServerRemoved(BackendId(name)), 0, 2.0)
        apply_change(directory, 's/a', 7, server_listed('a'), 0.3)
        self.assertThat(len(directory.accepting_servers(SERVICE, 0.5)), Equals(3))
        self.assertThat(len(directory.accepting_servers(SERVICE, 2.5)), Equals(1))

    def test_a_departed_server_is_found_by_its_tag(self) -> None:
        directory = Directory()
        apply_change(directory, 's/a', 1, server_listed('a'))
        apply_change(directory, 's/a', 2, ServerRemoved(BackendId('a')), 0)
        tag = tag_of(BackendId('a'))
        directory.prune_removed_servers(30, MAX_FLOW_S)
        found = directory.find_by_tag(tag, ADDRESS)
        self.assertThat(found and found.server.id, Equals('a'))
        directory.prune_removed_servers(100, MAX_FLOW_S)
        self.assertThat(directory.find_by_tag(tag, ADDRESS), Equals(None))

    def test_a_full_listing_finds_absent_keys(self) -> None:
        directory = Directory()
        apply_change(directory, 's/a', 1, server_listed('a'))
        apply_change(directory, 's/b', 5, server_listed('b'))
        self.assertThat(directory.keys_absent_from([], Position(1, 3)), Equals(['s/a']))

    def test_peers_get_what_is_newer(self) -> None:
        directory = Directory()
        apply_change(directory, 's/a', 1, server_listed('a'))
        apply_change(directory, 'config', 4, configuration_published(1))
        newer = [change.key for change in directory.changes_after(Position(1, 1))]
        self.assertThat(newer, Equals(['config']))


class ZoneMarkedColdTest(TestCase):
    """Servers of a zone that gets flows again after it got none."""

    def test_its_servers_are_cold_for_the_cold_start_of_their_service(self) -> None:
        directory = Directory()
        apply_change(directory, 'servers/i-1', 5, server_listed('i-1'))
        other = server_listed('i-2').registration
        moved = other._replace(server=replace(other.server, zone=ZoneId('other')))
        apply_change(directory, 'servers/i-2', 6, ServerListed(moved))
        directory.mark_zone_cold(ZoneId('z'), 100.0)
        # The configuration and another report of the server may arrive later.
        configuration = Configuration(1, {}, 15.0, {SERVICE: ColdStart(20.0, 0.0)})
        apply_change(directory, 'config', 7, ConfigurationPublished(configuration))
        apply_change(directory, 'servers/i-1', 8, server_listed('i-1', version=(0, 1)), 105.0)
        for now, expected in ((100.0, 20.0), (110.0, 10.0), (120.0, 0), (130.0, 0)):
            with self.subTest(now=now):
                left_s = directory.warmup_left_s(BackendId('i-1'), now)
                self.assertThat(left_s, Equals(expected))
                self.assertThat(directory.warmup_left_s(BackendId('i-2'), now), Equals(0))
        cold = [
            row.server.id
            for row in directory.registered_servers()
            if directory.warmup_left_s(row.server.id, 110.0) > 0
        ]
        self.assertThat(cold, Equals([BackendId('i-1')]))

    def test_a_server_stays_cold_as_long_as_its_entry_says(self) -> None:
        directory = Directory()
        registration = server_listed('i-1').registration._replace(warmup_left_s=40.0)
        apply_change(directory, 'servers/i-1', 5, ServerListed(registration))
        directory.mark_zone_cold(ZoneId('z'), 10.0)
        self.assertThat(directory.warmup_left_s(BackendId('i-1'), 10.0), Equals(30.0))


class AddressTest(TestCase):
    """Which server an address belongs to, for liveness checks."""

    def test_a_reused_address_belongs_to_another_server(self) -> None:
        """Guards against a check of one server that proves something about another."""
        directory = Directory()
        old, new = BackendId('i-1'), BackendId('i-2')
        address = Endpoint('10.1.0.1', 9000)

        def apply(revision: int, name: str, change: DecodedChange) -> None:
            source_change = SourceChange(f'servers/{name}', Position(1, revision), b'x')
            directory.apply(source_change, change, float(revision), 0)

        apply(1, old, server_listed(old))
        owned = [directory.addresses.is_of_another(old, address)]
        apply(2, new, server_listed(new))
        owned.append(directory.addresses.is_of_another(old, address))
        apply(3, old, ServerRemoved(old))
        owned.append(directory.addresses.is_of_another(old, address))
        owned.append(directory.addresses.is_of_another(new, address))
        apply(4, new, ServerRemoved(new))
        owned.append(directory.addresses.is_of_another(old, address))
        self.assertThat(owned, Equals([False, True, True, False, False]))

    def test_a_removed_server_is_gone_after_the_grace_period(self) -> None:
        """Guards against servers that look gone while their entries are being restored."""
        directory = Directory()
        backend = BackendId('i-1')
        directory.apply(
            SourceChange('servers/i-1', Position(1, 1), b'x'), server_listed(backend), 1, 0
        )
        self.assertThat(directory.is_gone(backend, 9), Equals(False))
        removal = SourceChange('servers/i-1', Position(1, 2), None)
        directory.apply(removal, ServerRemoved(backend), 10, 2.2)
        self.assertThat(
            [directory.is_gone(backend, at) for at in (12.1, 12.3)], Equals([False, True])
        )
        self.assertThat(directory.removed_at(backend), Equals(10))
