"""Tests of the rate limit for cold servers over many instances, at the servers' side."""

from random import Random

from testtools import TestCase
from testtools.matchers import Contains, Equals, GreaterThan, LessThan

from berylstair.catalogue import LogEvent
from berylstair.cold_mandate import HANDOVER_S, VOTE_S
from berylstair.directory import ColdStart
from berylstair.ids import BackendId, ZoneId
from berylstair.membership import PEER_TIMEOUT_S
from berylstair.steering_metrics import render_steering_metrics
from berylstair.steering_settings import ColdLimit
from emulator.simulation import SERVICE, SimulatedServer, SimulatedWorld

COLD_S = 60.0
COLD_START = ColdStart(COLD_S, 0.0)
COLD_LIMIT = ColdLimit(1.5, 5.0)
LIMIT = 5
SETTLING_S = HANDOVER_S + VOTE_S + 1
# Times after a change of the fleet at which a new instance may offer flows to cold servers.
TAKE_OVER_S = PEER_TIMEOUT_S + SETTLING_S


def make_world(
    instances: int = 6,
    servers: int = 6,
    cold_start: ColdStart | None = COLD_START,
    cold_limit: ColdLimit | None = COLD_LIMIT,
    seed: int = 1,
) -> SimulatedWorld:
    """Starts a simulation of three zones in which every instance knows the others."""
    world = SimulatedWorld(instances, 3, seed, cold_limit=cold_limit)
    world.add_route(cold_start=cold_start)
    world.add_servers(servers, slots=2)
    world.run(2)
    return world


def list_cold(world: SimulatedWorld) -> None:
    """Registers all servers of a simulation as cold."""
    for backend in world.server_by_id:
        world.list_cold(backend, COLD_S)


def schedule_load(world: SimulatedWorld, seconds: float, rate: int = 40) -> None:
    """Schedules a steady load of short requests from callers in three zones."""
    rng = Random(7)
    for number in range(int(seconds * rate)):
        zone = rng.randrange(3)
        work_s = rng.uniform(0.03, 0.039)
        world.schedule(
            number / rate, lambda origin=zone, work=work_s: world.start_flow(origin, work)
        )


def most_in_a_second(server: SimulatedServer, start: float) -> int:
    """Returns the most opening segments that a server got in any second since a time."""
    times = [at for at in server.opening_times if at >= start]
    return max((sum(first <= at <= first + 1 for at in times) for first in times), default=0)


def most_at_any_server(world: SimulatedWorld, start: float) -> int:
    """Returns the most opening segments that any server got in a second since a time."""
    return max(most_in_a_second(server, start) for server in world.server_by_id.values())


def count_openings(world: SimulatedWorld, start: float) -> int:
    """Returns the number of opening segments that all servers got since a time."""
    servers = world.server_by_id.values()
    return sum(at >= start for server in servers for at in server.opening_times)


def find_dispatcher_ip(world: SimulatedWorld, rank: int = 0) -> str:
    """Returns the IP address of the instance with a rank for the service, from 0."""
    core = world.steering_by_ip['10.0.0.1'].core
    ranking = core.fleet.dispatcher_ranking
    peer = ranking.ranking(SERVICE, core.fleet.membership.eligible)[rank]
    return f'10.0.0.{peer.removeprefix("entry-")}'


def cut_link(world: SimulatedWorld, ip: str, other_ip: str) -> None:
    """Blocks all messages between two instances."""
    world.blocked_links |= {(ip, other_ip), (other_ip, ip)}


class ColdServersTest(TestCase):
    """Opening segments at cold servers in any sliding second, over all instances."""

    def test_the_bound_holds_while_all_servers_are_cold(self) -> None:
        world = make_world()
        list_cold(world)
        cold_at = world.now
        schedule_load(world, 20)
        world.run(20)
        self.assertThat(most_at_any_server(world, cold_at), LessThan(LIMIT + 1))
        # Half of the bound is used once one instance has the mandate.
        used_per_s = count_openings(world, cold_at + SETTLING_S) / (20 - SETTLING_S)
        self.assertThat(used_per_s, GreaterThan(LIMIT * len(world.server_by_id) / 2))

    def test_the_bound_holds_when_the_dispatching_instance_is_killed(self) -> None:
        for seed in (1, 2):
            world = make_world(seed=seed)
            list_cold(world)
            cold_at = world.now
            schedule_load(world, 12 + TAKE_OVER_S)
            world.run(9)
            killed_ip = find_dispatcher_ip(world)
            world.kill_instance(killed_ip)
            world.run(1)
            world.unready_ips.add(killed_ip)
            world.run(TAKE_OVER_S)
            taken_over_at = world.now
            world.run(2)
            with self.subTest(seed=seed):
                self.assertThat(most_at_any_server(world, cold_at), LessThan(LIMIT + 1))
                self.assertThat(count_openings(world, taken_over_at), GreaterThan(2 * LIMIT))

    def test_the_bound_holds_when_the_dispatching_instance_restarts_at_once(self) -> None:
        world = make_world()
        list_cold(world)
        cold_at = world.now
        schedule_load(world, 16)
        for number in range(8):
            world.run(2)
            ip = find_dispatcher_ip(world) if number % 2 else '10.0.0.1'
            world.kill_instance(ip)
            world.start_instance(int(ip.rpartition('.')[2]) - 1)
        self.assertThat(most_at_any_server(world, cold_at), LessThan(LIMIT + 1))

    def test_the_bound_holds_through_a_partition_and_after_it(self) -> None:
        for zone in range(3):
            world = make_world()
            list_cold(world)
            cold_at = world.now
            schedule_load(world, 24)
            world.run(8)
            world.partition_zone(zone)
            world.run(8)
            world.blocked_links.clear()
            world.run(8)
            with self.subTest(zone=zone):
                self.assertThat(most_at_any_server(world, cold_at), LessThan(LIMIT + 1))

    def test_the_smaller_side_of_a_partition_offers_nothing_to_cold_servers(self) -> None:
        world = make_world()
        list_cold(world)
        schedule_load(world, 20)
        world.run(8)
        world.partition_zone(0)
        world.run(PEER_TIMEOUT_S + 1)
        parted_at = world.now
        world.run(8)
        for server in world.server_by_id.values():
            in_zone = server.backend_server.zone == 'zone-0'
            count = sum(at >= parted_at for at in server.opening_times)
            with self.subTest(server=server.backend_server.id):
                self.assertThat(count > 0, Equals(not in_zone))

    def test_the_bound_holds_while_two_instances_do_not_hear_each_other(self) -> None:
        # Both reach all others, so each sees a majority, and each ranks first for itself.
        for instances in (6, 9, 20):
            world = make_world(instances)
            list_cold(world)
            cold_at = world.now
            schedule_load(world, 22)
            cut_link(world, find_dispatcher_ip(world, 0), find_dispatcher_ip(world, 1))
            world.run(12)
            world.blocked_links.clear()
            world.run(10)
            with self.subTest(instances=instances):
                self.assertThat(most_at_any_server(world, cold_at), LessThan(LIMIT + 1))

    def test_lost_offers_and_answers_are_repeated_within_the_bound(self) -> None:
        # Offers that nobody answers, copies that callers send and copies that correct tags.
        for seed in (1, 2):
            world = make_world(seed=seed)
            world.repeats_accepts = True
            world.accept_loss_ratio = 0.3
            world.opening_loss_ratio = 0.2
            list_cold(world)
            cold_at = world.now
            schedule_load(world, 20)
            world.run(20)
            with self.subTest(seed=seed):
                self.assertThat(most_at_any_server(world, cold_at), LessThan(LIMIT + 1))
                self.assertThat(count_openings(world, cold_at + SETTLING_S), GreaterThan(LIMIT))

    def test_late_replies_are_not_used(self) -> None:
        # The link of the dispatching instance delays its replies, as a full one does.
        world = make_world()
        list_cold(world)
        cold_at = world.now
        schedule_load(world, 24)
        for delay_s in (0.0, 0.1, 0.01, 0.3, 0.0, 0.02):
            world.delay_by_ip[find_dispatcher_ip(world)] = delay_s
            world.run(4)
        self.assertThat(most_at_any_server(world, cold_at), LessThan(LIMIT + 1))

    def test_an_instance_that_was_frozen_keeps_the_bound(self) -> None:
        world = make_world()
        list_cold(world)
        cold_at = world.now
        schedule_load(world, 24)
        for frozen_s in (0.3, 1.2, 3.0, 0.04):
            world.run(5)
            world.freeze(find_dispatcher_ip(world), frozen_s)
            world.freeze('10.0.0.2', frozen_s / 2)
        world.run(5)
        self.assertThat(most_at_any_server(world, cold_at), LessThan(LIMIT + 1))

    def test_warm_servers_take_the_load_that_cold_ones_may_not(self) -> None:
        world = make_world(servers=9)
        cold = list(world.server_by_id)[:3]
        for backend in cold:
            world.list_cold(backend, COLD_S)
        cold_at = world.now
        schedule_load(world, 10)
        world.run(12)
        flows = [flow for flow in world.flow_by_key.values() if flow.started_at >= cold_at]
        answered = [flow for flow in flows if flow.outcome == 'answered']
        self.assertThat(len(answered), Equals(len(flows)))
        for backend in cold:
            most = most_in_a_second(world.server_by_id[BackendId(backend)], cold_at)
            self.assertThat(most, LessThan(LIMIT + 1))

    def test_a_rate_that_the_service_states_is_added(self) -> None:
        world = make_world(servers=3, cold_start=ColdStart(COLD_S, 10.0))
        list_cold(world)
        cold_at = world.now
        schedule_load(world, 10, rate=80)
        world.run(10)
        most = most_at_any_server(world, cold_at)
        self.assertThat(most, LessThan(20 + 1))
        self.assertThat(most, GreaterThan(10))

    def test_a_zone_that_was_taken_back_is_cold_whatever_its_entries_say(self) -> None:
        world = make_world()
        for steering in world.steering_by_ip.values():
            steering.core.directory.mark_zone_cold(ZoneId('zone-1'), world.now)
        cold_at = world.now
        schedule_load(world, 12)
        world.run(12)
        servers = world.server_by_id.values()
        cold = [server for server in servers if server.backend_server.zone == 'zone-1']
        most = max(most_in_a_second(server, cold_at) for server in cold)
        self.assertThat(most, LessThan(LIMIT + 1))

    def test_servers_that_are_no_longer_cold_get_the_usual_load(self) -> None:
        world = make_world()
        for backend in world.server_by_id:
            world.list_cold(backend, 2.0)
        world.run(2.2)
        warm_at = world.now
        schedule_load(world, 4)
        world.run(5)
        flows = [flow for flow in world.flow_by_key.values() if flow.started_at >= warm_at]
        self.assertThat({flow.outcome for flow in flows}, Equals({'answered'}))

    def test_without_a_stated_rate_or_bound_nothing_changes(self) -> None:
        decisions = []
        for cold_start, cold_limit in ((None, None), (COLD_START, None), (None, COLD_LIMIT)):
            world = make_world(cold_start=cold_start, cold_limit=cold_limit)
            list_cold(world)
            schedule_load(world, 4)
            world.run(5)
            decisions.append(
                [(flow.backend_id, flow.outcome) for flow in world.flow_by_key.values()]
            )
            self.assertThat(world.sent_messages['ColdVoteRequest'], Equals(0))
        self.assertThat({outcome for _, outcome in decisions[0]}, Equals({'answered'}))
        self.assertThat(decisions[1:], Equals([decisions[0], decisions[0]]))

    def test_the_gauges_show_the_cold_servers_and_the_only_mandate(self) -> None:
        world = make_world()
        list_cold(world)
        schedule_load(world, 8)
        world.run(8)
        pages = [
            render_steering_metrics(steering, world.now).splitlines()
            for steering in world.steering_by_ip.values()
        ]
        for page in pages:
            self.assertThat(page, Contains('berylstair_cold_servers 6.0'))
        holders = [page for page in pages if 'berylstair_cold_mandates 1.0' in page]
        self.assertThat(len(holders), Equals(1))

    def test_the_event_is_logged_at_most_once_a_second_for_a_service(self) -> None:
        world = make_world()
        list_cold(world)
        schedule_load(world, 8)
        world.run(8)
        for ip in world.steering_by_ip:
            lines = [
                entry.detail
                for source, entry in world.log_entries
                if source == ip and entry.event_number is LogEvent.COLD_RATE_REACHED
            ]
            with self.subTest(ip=ip):
                self.assertThat(len(lines), LessThan(9))
                if ip == find_dispatcher_ip(world):
                    self.assertThat(lines[-1], Contains('limit=5 mandate=1'))
