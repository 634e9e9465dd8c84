"""Tests of discovery, failure detection and the choice of dispatching instances in a fleet."""

from collections import Counter

from testtools import TestCase
from testtools.matchers import Equals, GreaterThan, LessThan

from berylstair.directory import Configuration, ConfigurationPublished
from berylstair.ids import ServiceName, ZoneId
from berylstair.membership import PEER_TIMEOUT_S
from berylstair.steering_message import PeerLost
from emulator.simulation import SERVICE, SimulatedWorld


class FleetTest(TestCase):
    """Instances that start together soon agree on the members, dispatchers and zones."""

    def test_all_find_all_through_one_seed(self) -> None:
        for instances, zones in ((1, 1), (7, 3), (24, 3)):
            world = SimulatedWorld(instances, zones)
            world.run(1.2)
            for steering in world.steering_by_ip.values():
                eligible = steering.core.fleet.membership.eligible
                self.assertThat(len(eligible), Equals(instances))

    def test_all_name_the_same_dispatching_instance(self) -> None:
        world = SimulatedWorld(12, 3)
        world.run(1.2)
        dispatchers = {
            steering.core.fleet.find_dispatcher(SERVICE, world.now)
            for steering in world.steering_by_ip.values()
        }
        self.assertThat(len(dispatchers), Equals(1))

    def test_the_strongest_instances_dispatch(self) -> None:
        for cores, instances, is_strong_only in (
            ((2.0, 0.5, 0.5, 0.5), 24, True),
            # Two strong instances are too few: both might be lost at the same time.
            ((0.1, 1.0), 4, False),
            ((0.5,), 3, True),
        ):
            world = SimulatedWorld(instances, 3, cores=cores)
            world.run(1.2)
            fleet = world.steering_by_ip['10.0.0.1'].core.fleet
            names = {
                fleet.find_dispatcher(ServiceName(f's-{number}'), world.now) for number in range(40)
            }
            strong = {
                steering.core.fleet.own_id
                for steering in world.steering_by_ip.values()
                if steering.core.settings.capacity.cores == max(cores)
            }
            self.assertThat(names <= strong, Equals(is_strong_only))

    def test_one_instance_reads_the_source(self) -> None:
        world = SimulatedWorld(12, 3)
        world.run(1.2)
        readers = [
            steering.core.fleet.is_source_reader() for steering in world.steering_by_ip.values()
        ]
        self.assertThat(sum(readers), Equals(1))

    def test_a_silent_dispatcher_is_skipped_at_once_and_declared_dead_later(self) -> None:
        world = SimulatedWorld(4, 1)
        world.run(1.2)
        fleet = world.steering_by_ip['10.0.0.1'].core.fleet
        first = next(name for name in fleet.membership.eligible if name != fleet.own_id)
        for _ in range(2):
            fleet.dispatcher_ranking.record_timeout(first, world.now)
        self.assertThat(fleet.find_dispatcher(SERVICE, world.now) == first, Equals(False))
        world.kill_instance('10.0.0.2')
        world.run(PEER_TIMEOUT_S + 1)
        self.assertThat('entry-2' in fleet.membership.eligible, Equals(False))

    def test_an_instance_whose_clock_went_back_is_heard_after_a_restart(self) -> None:
        for clock_ahead_s in (0.0, 1.0, -60.0):
            world = SimulatedWorld(4, 1)
            world.run(1.2)
            world.kill_instance('10.0.0.2')
            world.run(PEER_TIMEOUT_S + 0.5)
            world.start_instance(1, clock_ahead_s)
            world.run(1.2)
            for steering in world.steering_by_ip.values():
                eligible = steering.core.fleet.membership.eligible
                self.assertThat(len(eligible), Equals(4))

    def test_a_zone_is_cut_off_once_none_of_its_instances_is_heard(self) -> None:
        world = SimulatedWorld(4, 2)
        world.run(1.2)
        fleet = world.steering_by_ip['10.0.0.1'].core.fleet
        remote_zone = world.steering_by_ip['10.0.0.2'].core.settings.zone
        self.assertThat(fleet.is_zone_reachable(remote_zone), Equals(True))
        for ip in ('10.0.0.2', '10.0.0.4'):
            world.kill_instance(ip)
        world.run(PEER_TIMEOUT_S + 1)
        self.assertThat(fleet.is_zone_reachable(remote_zone), Equals(False))

    def test_an_isolated_instance_counts_every_zone_as_reachable(self) -> None:
        world = SimulatedWorld(4, 2)
        world.run(1.2)
        fleet = world.steering_by_ip['10.0.0.1'].core.fleet
        for ip in ('10.0.0.2', '10.0.0.3', '10.0.0.4'):
            world.kill_instance(ip)
        world.run(PEER_TIMEOUT_S + 1)
        zones = {steering.core.settings.zone for steering in world.steering_by_ip.values()}
        self.assertThat([fleet.is_zone_reachable(zone) for zone in zones], Equals([True, True]))


# Time until nearly all instances know of a change, less than the probe interval.
PROPAGATION_S = 0.1
# Longest time until all instances know that a report of a lost instance was wrong.
REFUTATION_S = 0.05


class LargeFleetTest(TestCase):
    """Probes of a few peers, and reports of lost ones to all, in a large fleet."""

    INSTANCE_COUNT = 40

    def start_fleet(self, seed: int = 1) -> SimulatedWorld:
        """Starts a fleet in which all instances know each other."""
        world = SimulatedWorld(self.INSTANCE_COUNT, 3, seed)
        world.add_route()
        world.run(2)
        return world

    def alive_counts(self, world: SimulatedWorld) -> set[int]:
        """Returns the numbers of instances that the running ones consider alive."""
        return {
            len(steering.core.fleet.membership.eligible)
            for ip, steering in world.steering_by_ip.items()
            if ip not in world.down_ips
        }

    def test_messages_do_not_grow_with_the_fleet(self) -> None:
        world = self.start_fleet()
        world.sent_messages.clear()
        world.run(4)
        self.assertThat(self.alive_counts(world), Equals({self.INSTANCE_COUNT}))
        heartbeats_per_s = world.sent_messages['FleetHeartbeat'] / self.INSTANCE_COUNT / 4
        self.assertThat(heartbeats_per_s, LessThan(20))

    def test_killed_instances_are_missed_by_all(self) -> None:
        world = self.start_fleet()
        for number in (5, 6, 7):
            world.kill_instance(f'10.0.0.{number}')
        world.run(PEER_TIMEOUT_S + 0.5)
        self.assertThat(self.alive_counts(world), Equals({self.INSTANCE_COUNT - 3}))
        for number in (5, 6, 7):
            world.start_instance(number - 1)
        world.run(1)
        self.assertThat(self.alive_counts(world), Equals({self.INSTANCE_COUNT}))

    def test_parts_lose_each_other_and_meet_again(self) -> None:
        for seed in range(1, 5):
            self.check_zone_partition(self.start_fleet(seed))

    def check_zone_partition(self, world: SimulatedWorld) -> None:
        """Checks that a partitioned zone is detected, and rejoins after the partition."""
        world.partition_zone(1)
        world.run(PEER_TIMEOUT_S + 0.5)
        self.assertThat(self.alive_counts(world), Equals({13, 27}))
        zones = [
            steering.core.fleet.is_zone_reachable(ZoneId('zone-1'))
            for steering in world.steering_by_ip.values()
            if steering.core.settings.zone != 'zone-1'
        ]
        self.assertThat(set(zones), Equals({False}))
        world.blocked_links.clear()
        world.run(1.5)
        self.assertThat(self.alive_counts(world), Equals({self.INSTANCE_COUNT}))

    def test_an_instance_that_is_called_lost_says_that_it_lives(self) -> None:
        world = self.start_fleet()
        suspect = world.steering_by_ip['10.0.0.9'].core.fleet
        message = PeerLost(suspect.own_id, round(100.0 * 1000))
        for ip, steering in world.steering_by_ip.items():
            if ip != '10.0.0.1':
                steering.handle_message('10.0.0.1', message, world.now)
        world.run(REFUTATION_S)
        self.assertThat(self.alive_counts(world), Equals({self.INSTANCE_COUNT}))

    def test_what_one_instance_reads_is_known_to_all_soon(self) -> None:
        world = self.start_fleet()
        for version in (2, 3, 4):
            change = ConfigurationPublished(Configuration(version, {}, 15.0))
            world.publish('config', change, only_ip='10.0.0.3')
            world.run(PROPAGATION_S)
            self.assertThat(
                self.versions(world)[version], GreaterThan(self.INSTANCE_COUNT * 9 // 10)
            )
            world.run(0.6 - PROPAGATION_S)
            self.assertThat(self.versions(world), Equals({version: self.INSTANCE_COUNT}))

    def versions(self, world: SimulatedWorld) -> Counter[int]:
        """Returns how many instances have each configuration version in force."""
        return Counter(
            steering.core.directory.configuration.version
            for steering in world.steering_by_ip.values()
        )
