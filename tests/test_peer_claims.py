"""Tests of positions and versions that peers state and the source does not hold."""

from collections.abc import Callable
from itertools import product
from typing import Any

from testtools import TestCase
from testtools.matchers import Equals, LessThan

from berylstair.directory import Position
from berylstair.steering_message import (
    DirectoryChangeRow,
    DirectoryUpdate,
    FleetHeartbeat,
)
from emulator.simulated_reader import SimulatedReader
from emulator.simulation import SERVICE, SimulatedWorld

# Limit of the users' rules for a change of servers or routes, in seconds.
APPLY_LIMIT_S = 3.0
FLEET_SIZES = (4, 18)
SETTLING_S = 3.0
CHANGE_GAP_S = 0.5
CLAIM_S = 6.0
# The store's 2,000 calls a second, shared by 5,000 instances.
CALLS_PER_S = 0.4
MAX_INTEGER = (1 << 63) - 1
FALSE_POSITIONS = (
    Position(1, 1_000_000),
    Position(1, MAX_INTEGER),
    Position(2, 1),
    Position(MAX_INTEGER, MAX_INTEGER),
)
Claim = Callable[[SimulatedWorld, Position], Any]


def state_in_heartbeat(world: SimulatedWorld, position: Position) -> FleetHeartbeat:
    """Returns a heartbeat of the first instance that states a position."""
    core = world.steering_by_ip['10.0.0.1'].core
    heartbeat = core.fleet.make_heartbeat(core.directory, world.now)
    return heartbeat._replace(era=position.era, revision=position.revision)


def state_version_in_heartbeat(world: SimulatedWorld, position: Position) -> FleetHeartbeat:
    """Returns a heartbeat that states a configuration version far ahead."""
    core = world.steering_by_ip['10.0.0.1'].core
    heartbeat = core.fleet.make_heartbeat(core.directory, world.now)
    return heartbeat._replace(configuration_version=position.revision)


def send_update(world: SimulatedWorld, position: Position) -> DirectoryUpdate:
    """Returns an update up to a position that removes a server there."""
    backend = next(iter(world.server_by_id))
    row = DirectoryChangeRow(f'servers/{backend}', *position, True, b'', 0, 0, False)
    return DirectoryUpdate(0, 0, *position, (row,))


def send_empty_update(world: SimulatedWorld, position: Position) -> DirectoryUpdate:
    """Returns an update up to a position without any change."""
    return DirectoryUpdate(0, 0, *position, ())


class ReadingFleet:
    """Instances that read the store by their own schedule."""

    def __init__(self, size: int) -> None:
        """Starts the fleet and lets it settle."""
        self.world = SimulatedWorld(0, 2, confirms_sources=False)
        self.world.add_route(1)
        self.world.add_servers(3)
        for number in range(size):
            self.world.start_instance(number)
        self.readers = [SimulatedReader(self.world, ip) for ip in self.world.steering_by_ip]
        self.version = 1
        self.world.run(SETTLING_S)

    def call_count(self) -> int:
        """Returns the calls to the store so far."""
        return sum(reader.call_count for reader in self.readers)

    def receive_claims(self, claim: Claim, position: Position, ips: list[str]) -> None:
        """Publishes configurations while instances hear a false claim twice a second."""
        until = self.world.now + CLAIM_S
        while self.world.now < until:
            self.version += 1
            self.world.add_route(self.version, only_ip='none')
            for ip in ips:
                steering = self.world.steering_by_ip[ip]
                steering.handle_message(
                    '10.0.0.1', claim(self.world, position), self.world.now_at(ip)
                )
            self.world.run(CHANGE_GAP_S)

    def versions(self) -> set[int]:
        """Returns the configuration versions in force."""
        nodes = self.world.steering_by_ip.values()
        return {node.core.directory.configuration_version for node in nodes}


class FalseClaimTest(TestCase):
    """An instance states, again and again, more than the source holds."""

    def check(self, size: int, claim: Claim, position: Position) -> None:
        """Checks that all instances follow the source within the limit."""
        fleet = ReadingFleet(size)
        world = fleet.world
        fleet.receive_claims(claim, position, ['10.0.0.2', '10.0.0.3'])
        calls = fleet.call_count()
        fleet.version += 1
        world.add_route(fleet.version, only_ip='none')
        fleet.receive_claims(claim, position, ['10.0.0.2'])
        followed = fleet.version
        world.run(APPLY_LIMIT_S)
        self.assertThat(fleet.versions(), Equals({followed}))
        for steering in world.steering_by_ip.values():
            directory = steering.core.directory
            self.assertThat(directory.position, Equals(world.source_position))
            accepting = directory.accepting_servers(SERVICE, world.now)
            self.assertThat(len(accepting), Equals(len(world.server_by_id)))
        calls_per_s = (fleet.call_count() - calls) / (CLAIM_S + APPLY_LIMIT_S)
        self.assertThat(calls_per_s, LessThan(max(CALLS_PER_S * size, 6)))

    def test_a_position_far_ahead_of_the_source_keeps_no_instance_from_following(self) -> None:
        claims = (state_in_heartbeat, send_update, send_empty_update)
        for size, position, claim in product(FLEET_SIZES, FALSE_POSITIONS, claims):
            with self.subTest(size=size, position=position, claim=claim.__name__):
                self.check(size, claim, position)

    def test_a_version_far_ahead_of_the_source_keeps_no_instance_from_following(self) -> None:
        for size in FLEET_SIZES:
            with self.subTest(size=size):
                self.check(size, state_version_in_heartbeat, Position(1, MAX_INTEGER))

    def test_a_claim_that_its_peer_cannot_meet_is_not_fetched_again(self) -> None:
        fleet = ReadingFleet(4)
        world = fleet.world
        fetches: list[Any] = []
        steering = world.steering_by_ip['10.0.0.2']
        request = steering.directory_sync.request_changes
        steering.directory_sync.request_changes = lambda *args: (  # type: ignore[method-assign]
            fetches.append(args),
            request(*args),
        )
        for _ in range(20):
            message = state_version_in_heartbeat(world, Position(1, MAX_INTEGER))
            steering.handle_message('10.0.0.1', message, world.now)
            world.run(CHANGE_GAP_S)
        self.assertThat(len(fetches), LessThan(4))
