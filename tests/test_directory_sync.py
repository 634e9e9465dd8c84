"""Tests of the directory's synchronization after the source was restored from a copy."""

from dataclasses import replace
from random import Random

from testtools import TestCase
from testtools.matchers import Equals, LessThan, Not

from berylstair.catalogue import LogEvent
from berylstair.directory import (
    ServerListed,
    ServerRegistration,
    ServerRemoved,
    SourceChange,
)
from berylstair.directory_sync import SOURCE_RECOVERY_GRACE_S
from berylstair.ids import BackendId
from berylstair.record import BackendState
from berylstair.steering import SteeringInstance
from emulator.simulation import SERVICE, SimulatedWorld

INSTANCES = 4
SERVERS = 4
READER_IP = '10.0.0.1'
# Heartbeats and fetches reach every instance within this time.
SPREAD_S = 1.5
STEPS = 14
# Number of instances and seeds; the larger fleet probes its peers and relays changes.
RANDOM_SERIES = ((INSTANCES, range(30)), (40, range(3)))


def make_world(seed: int = 1, instances: int = INSTANCES) -> SimulatedWorld:
    """Returns a world whose instances all know one another and version 1."""
    world = SimulatedWorld(instances, zones=2, seed=seed)
    world.add_route(1)
    world.add_servers(SERVERS)
    world.run(SPREAD_S)
    return world


def copy_source(world: SimulatedWorld) -> tuple[dict[str, SourceChange], int]:
    """Returns a copy of the store, as ``restore_source`` takes it."""
    return dict(world.source_items), world.source_position.revision


def write_server(
    world: SimulatedWorld, backend: BackendId, state: BackendState, sequence: int, only_ip: str = ''
) -> None:
    """Lets a server write its entry."""
    server = replace(world.server_by_id[backend].backend_server, state=state)
    registration = ServerRegistration(server, SERVICE, 1, sequence)
    world.publish(f'servers/{backend}', ServerListed(registration), only_ip)


def versions_in_force(world: SimulatedWorld) -> set[int]:
    """Returns the configuration versions that running instances have in force."""
    return {
        steering.core.directory.configuration_version
        for ip, steering in world.steering_by_ip.items()
        if ip not in world.down_ips
    }


def find_accepting(world: SimulatedWorld, steering: SteeringInstance) -> frozenset[BackendId]:
    """Returns the servers that an instance holds as accepting."""
    servers = steering.core.directory.accepting_servers(SERVICE, world.now)
    return frozenset(server.id for server in servers)


def accepting_everywhere(world: SimulatedWorld) -> set[frozenset[BackendId]]:
    """Returns the sets of accepting servers that running instances hold."""
    return {
        find_accepting(world, steering)
        for ip, steering in world.steering_by_ip.items()
        if ip not in world.down_ips
    }


class RestoredSourceTest(TestCase):
    """One instance reads the restored source; the others learn of it from their peers."""

    def test_a_version_whose_revision_was_given_out_before_is_in_force(self) -> None:
        world = make_world()
        copy = copy_source(world)
        for version in (2, 3):
            world.add_route(version)
        world.restore_source(*copy, reader_ip=READER_IP)
        for version in (3, 4):
            world.add_route(version, only_ip=READER_IP)
        world.run(SPREAD_S)
        self.assertThat(versions_in_force(world), Equals({4}))

    def test_the_older_version_of_the_copy_is_not_in_force_after_a_restart(self) -> None:
        world = make_world()
        copy = copy_source(world)
        world.add_route(2)
        world.restore_source(*copy)
        for number in range(1, INSTANCES):
            world.kill_instance(f'10.0.0.{number + 1}')
            world.start_instance(number)
            world.run(SPREAD_S)
        self.assertThat(versions_in_force(world), Equals({2}))

    def test_a_leaving_server_that_the_copy_lists_as_ready_is_not_used(self) -> None:
        world = make_world()
        leaving = next(iter(world.server_by_id))
        copy = copy_source(world)
        write_server(world, leaving, BackendState.LEAVING, sequence=9)
        world.restore_source(*copy, reader_ip=READER_IP)
        world.kill_instance('10.0.0.4')
        world.start_instance(3)
        world.run(SPREAD_S)
        for accepting in accepting_everywhere(world):
            self.assertThat(leaving in accepting, Equals(False))

    def test_a_removed_server_is_used_once_it_registers_after_the_restore(self) -> None:
        world = make_world()
        backend = next(iter(world.server_by_id))
        write_server(world, backend, BackendState.ACTIVE, sequence=5)
        copy = copy_source(world)
        write_server(world, backend, BackendState.ACTIVE, sequence=9)
        world.remove_server(backend)
        world.restore_source(*copy, reader_ip=READER_IP)
        world.run(SPREAD_S)
        self.assertThat(len(next(iter(accepting_everywhere(world)))), Equals(SERVERS - 1))
        write_server(world, backend, BackendState.ACTIVE, sequence=20, only_ip=READER_IP)
        world.run(SPREAD_S)
        self.assertThat(accepting_everywhere(world), Equals({frozenset(world.server_by_id)}))

    def test_a_removed_server_that_the_copy_lists_is_not_used_after_a_restart(self) -> None:
        world = make_world()
        gone = next(iter(world.server_by_id))
        copy = copy_source(world)
        write_server(world, gone, BackendState.LEAVING, sequence=9)
        world.remove_server(gone)
        world.restore_source(*copy, reader_ip=READER_IP)
        world.kill_instance('10.0.0.4')
        world.start_instance(3)
        world.run(SPREAD_S)
        expected = frozenset(world.server_by_id) - {gone}
        self.assertThat(accepting_everywhere(world), Equals({expected}))

    def test_a_server_lost_by_the_restore_is_used_for_the_grace_period_only(self) -> None:
        world = make_world()
        copy = copy_source(world)
        world.add_servers(1)
        lost = list(world.server_by_id)[-1]
        world.restore_source(*copy, reader_ip=READER_IP)
        world.run(SOURCE_RECOVERY_GRACE_S / 2)
        self.assertThat(accepting_everywhere(world), Equals({frozenset(world.server_by_id)}))
        world.run(SOURCE_RECOVERY_GRACE_S)
        expected = frozenset(world.server_by_id) - {lost}
        self.assertThat(accepting_everywhere(world), Equals({expected}))

    def test_a_lost_server_that_the_reader_never_knew_is_removed_everywhere(self) -> None:
        world = make_world()
        copy = copy_source(world)
        world.down_ips.add(READER_IP)
        world.add_servers(1)
        world.down_ips.clear()
        world.restore_source(*copy, reader_ip=READER_IP)
        world.run(SPREAD_S + SOURCE_RECOVERY_GRACE_S)
        lost = list(world.server_by_id)[-1]
        expected = frozenset(world.server_by_id) - {lost}
        self.assertThat(accepting_everywhere(world), Equals({expected}))

    def test_a_zone_cut_off_with_the_lost_history_follows_once_it_is_back(self) -> None:
        world = make_world()
        copy = copy_source(world)
        for ip in ('10.0.0.2', '10.0.0.4'):
            world.add_route(2, only_ip=ip)
        world.partition_zone(1)
        world.run(SPREAD_S)
        world.restore_source(*copy, reader_ip=READER_IP)
        world.run(SPREAD_S)
        self.assertThat(versions_in_force(world), Equals({1, 2}))
        world.blocked_links.clear()
        world.run(2 * SPREAD_S)
        self.assertThat(versions_in_force(world), Equals({2}))
        eras = {node.core.directory.position.era for node in world.steering_by_ip.values()}
        self.assertThat(eras, Equals({2}))

    def test_an_instance_that_missed_an_era_follows(self) -> None:
        world = make_world()
        for version in (2, 4):
            copy = copy_source(world)
            world.add_route(version, only_ip=READER_IP)
            world.restore_source(*copy, reader_ip=READER_IP)
            world.add_route(version + 1, only_ip=READER_IP)
        world.run(SPREAD_S)
        self.assertThat(versions_in_force(world), Equals({5}))

    def test_which_peers_are_asked_for_changes(self) -> None:
        # Era, position relative to the own one and version of a peer; whether it is asked.
        cases = (
            (0, 1, 1, True),
            (0, 0, 1, False),
            (0, 0, 2, True),
            (0, -1, 2, True),
            (1, -1, 1, True),
            (-1, 1, 1, False),
            (-1, 1, 2, False),
        )
        world = make_world()
        core = world.steering_by_ip[READER_IP].core
        sync = world.steering_by_ip[READER_IP].directory_sync
        own = core.fleet.make_heartbeat(core.directory, world.now)
        for era_difference, revision_difference, version, expected in cases:
            heartbeat = own._replace(
                era=own.era + era_difference,
                revision=own.revision + revision_difference,
                configuration_version=version,
            )
            with self.subTest(heartbeat=heartbeat):
                self.assertThat(sync.may_lack_changes_of(heartbeat), Equals(expected))

    def test_each_restore_is_logged_once_by_each_instance(self) -> None:
        world = make_world()
        copy = copy_source(world)
        world.add_route(2)
        world.restore_source(*copy, reader_ip=READER_IP)
        world.run(SPREAD_S)
        ips = [
            ip for ip, entry in world.log_entries if entry.event_number == LogEvent.SOURCE_RESTORED
        ]
        self.assertThat(sorted(ips), Equals(sorted(world.steering_by_ip)))


class RandomRestoresTest(TestCase):
    """Writes, restores, restarts and cuts in random order, from a seed."""

    def play(self, instances: int, seed: int) -> None:
        """Plays random steps, lets the writers write again, and checks what is in force."""
        self.rng = Random(seed)
        self.world = make_world(seed, instances)
        self.version = 1
        self.sequence = 1
        self.state_by_backend = dict.fromkeys(self.world.server_by_id, BackendState.ACTIVE)
        self.removed: set[BackendId] = set()
        self.version_by_instance: dict[SteeringInstance, int] = {}
        self.left_by_instance: dict[SteeringInstance, set[BackendId]] = {}
        self.copies = [copy_source(self.world)]
        steps = (
            self.write_configuration,
            self.write_earlier_configuration,
            self.write_server_state,
            self.remove_server,
            self.make_copy,
            self.restore,
            self.restart_instance,
            self.cut_zone,
        )
        for _ in range(STEPS):
            self.rng.choice(steps)()
            self.world.run(self.rng.random())
            self.check_nothing_reverts()
        self.world.blocked_links.clear()
        self.write_again()
        self.world.run(2 * SPREAD_S + SOURCE_RECOVERY_GRACE_S)
        self.assertThat(versions_in_force(self.world), Equals({self.version}))
        accepting = {
            backend
            for backend, state in self.state_by_backend.items()
            if state is BackendState.ACTIVE
        }
        self.assertThat(accepting_everywhere(self.world), Equals({frozenset(accepting)}))

    def check_nothing_reverts(self) -> None:
        """Checks that no instance goes back to an older version or to a server that left."""
        for steering in self.world.steering_by_ip.values():
            directory = steering.core.directory
            version = self.version_by_instance.get(steering, 0)
            self.assertThat(directory.configuration_version, Not(LessThan(version)))
            self.version_by_instance[steering] = directory.configuration_version
            accepting = find_accepting(self.world, steering)
            left = self.left_by_instance.setdefault(steering, set())
            self.assertThat(left & accepting, Equals(set()))
            for backend in self.world.server_by_id:
                change = directory.find_change(f'servers/{backend}')
                # The first entries have the number 0, those of leaving servers a higher one.
                if change and change.writer_version.number and backend not in accepting:
                    left.add(backend)

    def random_ip(self) -> str:
        """Returns the IP address of a random instance."""
        return self.rng.choice(sorted(self.world.steering_by_ip))

    def write_configuration(self) -> None:
        """Publishes the next version, which one instance reads."""
        self.version += 1
        self.world.add_route(self.version, only_ip=self.random_ip())

    def write_earlier_configuration(self) -> None:
        """Publishes an earlier version, as an operator who repeats lost writes in order."""
        version = self.rng.randint(1, self.version)
        self.world.add_route(version, only_ip=self.random_ip())

    def write_server_state(self) -> None:
        """Lets a server change its state, or leave for good."""
        backend = self.rng.choice(sorted(self.state_by_backend))
        if self.state_by_backend[backend] is BackendState.ACTIVE:
            self.state_by_backend[backend] = BackendState.LEAVING
            self.write_entry(backend)

    def remove_server(self) -> None:
        """Removes the entry of a server that is leaving."""
        leaving = [
            backend
            for backend, state in self.state_by_backend.items()
            if state is BackendState.LEAVING and f'servers/{backend}' in self.world.source_items
        ]
        if leaving:
            backend = self.rng.choice(leaving)
            self.removed.add(backend)
            self.world.publish(f'servers/{backend}', ServerRemoved(backend), self.random_ip())

    def write_entry(self, backend: BackendId) -> None:
        """Lets a server report its state, which one instance reads."""
        self.sequence += 1
        state = self.state_by_backend[backend]
        write_server(self.world, backend, state, self.sequence, self.random_ip())

    def make_copy(self) -> None:
        """Copies the store."""
        self.copies.append(copy_source(self.world))

    def restore(self) -> None:
        """Restores the store from a random copy, which one instance reads."""
        self.world.restore_source(*self.rng.choice(self.copies), reader_ip=self.random_ip())

    def restart_instance(self) -> None:
        """Kills and starts an instance, which reads the store."""
        number = self.rng.randrange(len(self.world.steering_by_ip))
        self.world.kill_instance(f'10.0.0.{number + 1}')
        self.world.start_instance(number)

    def cut_zone(self) -> None:
        """Cuts a zone off, or heals the cut."""
        if self.world.blocked_links:
            self.world.blocked_links.clear()
        else:
            self.world.partition_zone(1)

    def write_again(self) -> None:
        """Lets the operator and the servers write again what they wrote."""
        self.world.add_route(self.version, only_ip=READER_IP)
        for backend in self.state_by_backend:
            if backend in self.removed:
                self.world.remove_server(backend)
            else:
                self.write_entry(backend)
        listing_ip = self.random_ip()
        self.world.list_source(listing_ip)

    def test_all_instances_agree_with_the_writers_in_the_end(self) -> None:
        for instances, seeds in RANDOM_SERIES:
            for seed in seeds:
                with self.subTest(instances=instances, seed=seed):
                    self.play(instances, seed)
