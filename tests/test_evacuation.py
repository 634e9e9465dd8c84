"""Tests of the evacuation of a zone: every path by which an opening segment reaches a server."""

from collections.abc import Callable
from functools import partial
from random import Random

from testtools import TestCase
from testtools.matchers import Equals, GreaterThan

from berylstair.catalogue import LogEvent
from berylstair.directory import START_POSITION, ServerListed, ServerRegistration
from berylstair.directory_source import SourceListing
from berylstair.directory_sync import SOURCE_RECOVERY_GRACE_S
from berylstair.ids import ZoneId
from berylstair.segment import Segment
from berylstair.steering_metrics import render_steering_metrics
from emulator.simulation import EVACUATION_PREFIX, SERVICE, CallerFlow, SimulatedWorld

ZONE = ZoneId('zone-0')
# Segments reach an instance after 3 ms, and a placement reply comes 0.8 ms later.
REPLY_UNDER_WAY_S = 0.0035
OFFERED_S = 0.01
SPREAD_S = 1.5
# Longer than a server leaves an offer unanswered before another one is tried.
SILENT_S = 0.4
# An opening segment sent before the evacuation is on its way for less than this.
TRANSIT_S = 0.001
READER_IP = '10.0.0.1'
SERIES_STEPS = 14


def make_world(instances: int = 3, servers: int = 4, slots: int = 3) -> SimulatedWorld:
    """Starts two zones; callers of the first one prefer its servers."""
    world = SimulatedWorld(instances, zones=2)
    world.add_route()
    world.add_servers(servers, slots)
    world.run(2)
    return world


def find_holder_ip(world: SimulatedWorld, flow: CallerFlow) -> str:
    """Returns the IP address of the instance that has a flow's opening segment."""
    return next(ip for ip, node in world.steering_by_ip.items() if node.core.flows.get(flow.key))


def find_dispatcher_ip(world: SimulatedWorld) -> str:
    """Returns the IP address of the dispatching instance."""
    dispatcher = next(iter(world.steering_by_ip.values())).core.fleet.find_dispatcher(
        SERVICE, world.now
    )
    return next(
        ip for ip, node in world.steering_by_ip.items() if node.core.fleet.own_id == dispatcher
    )


def make_opening(flow: CallerFlow, copies: int) -> Segment:
    """Returns an opening segment that its caller has sent some times before."""
    return Segment(flow.key, True, False, False, 7, copies, 0, b'')


def silence_zone(world: SimulatedWorld, delay_s: float = SILENT_S) -> None:
    """Lets the servers of the first zone answer opening segments late."""
    for server in world.server_by_id.values():
        if server.backend_server.zone == ZONE:
            server.accept_delay_s = delay_s


def evacuate(world: SimulatedWorld, only_ip: str = '') -> int:
    """Evacuates the first zone; returns the openings that its servers have got or will get.

    Openings that were sent before are still on their way.
    """
    world.evacuate_zone(0, only_ip)
    world.run(TRANSIT_S)
    return world.count_openings(0)


def place_new(world: SimulatedWorld) -> int:
    """A flow that begins after the evacuation."""
    before = evacuate(world)
    world.start_flow()
    return before


def repeat_decision(world: SimulatedWorld) -> int:
    """The dispatching instance has placed the flow, which another holder asks for again."""
    silence_zone(world)
    flow = world.start_flow()
    world.run(OFFERED_S)
    before = evacuate(world)
    holder_ip = find_holder_ip(world, flow)
    for ip in world.steering_by_ip:
        if ip != holder_ip:
            world.deliver_segment(ip, make_opening(flow, 1))
    return before


def reply_of_older_directory(world: SimulatedWorld) -> int:
    """The reply of the dispatching instance names a server of the zone, which it has in use."""
    world.unready_ips.add(find_dispatcher_ip(world))
    flow = world.start_flow()
    world.run(REPLY_UNDER_WAY_S)
    world.evacuate_zone(0, find_holder_ip(world, flow))
    return world.count_openings(0)


def retransmit_offered(world: SimulatedWorld) -> int:
    """The caller repeats its opening segment while an offer is unanswered."""
    silence_zone(world)
    flow = world.start_flow()
    world.run(OFFERED_S)
    before = evacuate(world)
    world.deliver_segment(find_holder_ip(world, flow), make_opening(flow, 1))
    return before


def retransmit_given_up(world: SimulatedWorld) -> int:
    """The caller repeats its opening segment after three offers in vain, or more."""
    silence_zone(world, 5.0)
    world.opening_loss_ratio = 1.0
    world.start_flow()
    world.run(0.19)
    world.opening_loss_ratio = 0.0
    return evacuate(world)


def retransmit_open(world: SimulatedWorld) -> int:
    """A retransmission arrives once the flow is open."""
    flow = world.start_flow(work_s=0.3, stays_open=True)
    world.run(0.05)
    before = evacuate(world)
    world.deliver_segment(find_holder_ip(world, flow), make_opening(flow, 1))
    return before


def repeat_offer(world: SimulatedWorld) -> int:
    """An offer times out."""
    silence_zone(world)
    world.start_flow()
    world.run(OFFERED_S)
    return evacuate(world)


def place_locally(world: SimulatedWorld) -> int:
    """The dispatching instance is silent, and the holder places the flow itself."""
    before = evacuate(world)
    dispatcher_ip = find_dispatcher_ip(world)
    world.kill_instance(dispatcher_ip)
    world.unready_ips.add(dispatcher_ip)
    world.start_flow()
    return before


def correct_tag(world: SimulatedWorld) -> int:
    """The flow opens at another server after an offer in the zone, whose tag is corrected."""
    world.repeats_accepts = True
    silence_zone(world)
    world.start_flow(work_s=0.5, stays_open=True)
    world.run(0.09)
    return evacuate(world)


def wait_for_slot(world: SimulatedWorld) -> int:
    """Flows wait while all slots are taken; those of the zone become free."""
    for _ in range(30):
        world.start_flow(work_s=0.1)
    world.run(0.02)
    return evacuate(world)


def register_anew(world: SimulatedWorld) -> int:
    """A server of the zone writes its entry, and another one starts there."""
    before = evacuate(world)
    server = next(iter(world.server_by_id.values())).backend_server
    entry = ServerListed(ServerRegistration(server, SERVICE, 1, 2))
    world.publish(f'servers/{server.id}', entry)
    world.add_servers(2)
    world.start_flow()
    return before


def remove_and_restore(world: SimulatedWorld) -> int:
    """The source loses the entries of the servers, which stay in use for a grace period."""
    before = evacuate(world)
    items = {
        key: item for key, item in world.source_items.items() if not key.startswith('servers/')
    }
    world.restore_source(items, world.source_position.revision)
    world.start_flow()
    return before


def restart_instances(world: SimulatedWorld) -> int:
    """Instances that start during the evacuation read the store or ask a peer."""
    before = evacuate(world)
    for number, ip in enumerate(list(world.steering_by_ip)):
        world.kill_instance(ip)
        world.start_instance(number)
    world.start_flow()
    return before


def opening_after_end(world: SimulatedWorld) -> int:
    """An opening segment comes late, to an instance that has not seen its flow open."""
    flow = world.start_flow(work_s=0.02, stays_open=True)
    world.run(0.2)
    before = evacuate(world)
    holder_ip = find_holder_ip(world, flow)
    for ip in world.steering_by_ip:
        if ip != holder_ip:
            world.deliver_segment(ip, make_opening(flow, 1))
    return before


PATHS: tuple[Callable[[SimulatedWorld], int], ...] = (
    place_new,
    repeat_decision,
    reply_of_older_directory,
    retransmit_offered,
    retransmit_given_up,
    retransmit_open,
    repeat_offer,
    place_locally,
    correct_tag,
    wait_for_slot,
    register_anew,
    remove_and_restore,
    restart_instances,
    opening_after_end,
)


class OpeningPathTest(TestCase):
    """Guards against an opening segment that reaches an evacuated zone on any path."""

    def test_no_opening_reaches_the_zone(self) -> None:
        for path in PATHS:
            world = make_world()
            before = path(world)
            world.run(2)
            with self.subTest(path=path.__name__):
                self.assertThat(world.count_openings(0), Equals(before))


def start_flow_in(world: SimulatedWorld, zone: int) -> None:
    """Starts a flow of a caller in a zone."""
    world.start_flow(zone)


def count_outcomes(world: SimulatedWorld) -> set[str]:
    """Returns the outcomes of all flows."""
    return {flow.outcome for flow in world.flow_by_key.values()}


def log_details(world: SimulatedWorld, event: LogEvent) -> list[str]:
    """Returns the details of the log entries of an event."""
    return [entry.detail for _, entry in world.log_entries if entry.event_number is event]


def read_gauges(world: SimulatedWorld, name: str) -> list[float]:
    """Returns a gauge of every instance."""
    lines = [
        line
        for steering in world.steering_by_ip.values()
        for line in render_steering_metrics(steering, world.now).splitlines()
    ]
    return [float(line.split()[1]) for line in lines if line.startswith(f'berylstair_{name} ')]


def evacuated_at(world: SimulatedWorld) -> set[bool]:
    """Returns whether running instances hold the first zone as evacuated."""
    return {
        ZONE in steering.core.directory.evacuations
        for ip, steering in world.steering_by_ip.items()
        if ip not in world.down_ips
    }


class CallerOutcomeTest(TestCase):
    """What callers see of an evacuation."""

    def test_open_flows_continue(self) -> None:
        # Guards against a reset of flows that the zone's servers hold.
        world = make_world()
        flows = [world.start_flow(work_s=0.3, stays_open=True) for _ in range(4)]
        world.run(0.1)
        evacuate(world)
        for number in range(1, 3):
            # Instances that have seen nothing of the flows find their server by the tag.
            world.kill_instance(f'10.0.0.{number}')
            world.start_instance(number - 1)
        world.run(1)
        for flow in flows:
            world.send_next_request(flow)
        world.run(0.1)
        self.assertThat(count_outcomes(world), Equals({'answered'}))
        self.assertThat(world.misrouted_segments, Equals(0))

    def test_a_flow_is_reset_at_once_if_no_server_is_left(self) -> None:
        # Guards against callers that wait for slots which no flow can get.
        for is_begun_before in (True, False):
            world = make_world()
            if is_begun_before:
                # All slots are taken, with those of the queues at the servers.
                for _ in range(4 * 4):
                    world.start_flow(work_s=0.6, stays_open=True)
                world.run(0.02)
                waiting = world.start_flow()
                world.run(0.01)
            for zone in range(2):
                world.evacuate_zone(zone)
            if not is_begun_before:
                waiting = world.start_flow()
            world.run(0.06)
            with self.subTest(is_begun_before=is_begun_before):
                self.assertThat(waiting.outcome, Equals('reset'))

    def test_a_flow_that_was_offered_is_not_reset(self) -> None:
        # Guards against "has not run" for a flow that a server of the zone may have opened.
        world = make_world()
        silence_zone(world, 5.0)
        flow = world.start_flow()
        world.run(OFFERED_S)
        for zone in range(2):
            world.evacuate_zone(zone)
        world.run(2)
        self.assertThat(flow.outcome, Equals('gave_up'))

    def test_a_late_opening_of_an_open_flow_goes_to_no_server(self) -> None:
        # Guards against another server whose answer changes the tag of the open flow.
        world = make_world()
        before = opening_after_end(world)
        world.run(2)
        self.assertThat(
            (before, world.count_openings(0), world.count_openings(1)), Equals((1, 1, 0))
        )
        self.assertThat(count_outcomes(world), Equals({'answered'}))

    def test_a_new_flow_under_the_key_of_a_released_one_is_placed(self) -> None:
        # Guards against callers that are left without an answer after they reuse a port.
        world = make_world()
        flow = world.start_flow(work_s=0.02, stays_open=True)
        world.run(0.2)
        evacuate(world)
        opening = make_opening(flow, 0)._replace(sequence=99)
        world.deliver_segment('10.0.0.2', opening)
        world.run(0.05)
        self.assertThat((world.count_openings(0), world.count_openings(1)), Equals((1, 1)))

    def test_a_flow_that_may_be_open_with_another_holder_is_not_placed_again(self) -> None:
        # Guards against a second server whose answer changes the tag of an open flow.
        for is_silent, openings_elsewhere in ((False, 0), (True, 1)):
            world = make_world()
            if is_silent:
                silence_zone(world, 5.0)
            flow = world.start_flow(work_s=0.5, stays_open=True)
            world.run(0.05)
            evacuate(world)
            holder_ip = find_holder_ip(world, flow)
            for ip in world.steering_by_ip:
                if ip != holder_ip:
                    world.deliver_segment(ip, make_opening(flow, 1))
            world.run(1)
            with self.subTest(is_silent=is_silent):
                self.assertThat(world.count_openings(0), Equals(1))
                self.assertThat(world.count_openings(1) >= openings_elsewhere, Equals(True))
                if not is_silent:
                    self.assertThat(world.count_openings(1), Equals(0))
                self.assertThat(flow.outcome, Equals('answered'))
                self.assertThat(world.misrouted_segments, Equals(0))

    def test_flows_of_the_zone_are_answered_elsewhere_under_load(self) -> None:
        for instances in (4, 40):
            world = make_world(instances, servers=12)
            for number in range(300):
                world.schedule(number / 100, partial(start_flow_in, world, number % 2))
            world.accept_loss_ratio = 0.05
            world.run(1)
            before = evacuate(world, READER_IP)
            world.run(SPREAD_S)
            # The others have heard of it from the reader.
            at_bound = world.count_openings(0)
            world.run(3)
            with self.subTest(instances=instances):
                self.assertThat(world.count_openings(0), Equals(at_bound))
                self.assertThat(at_bound - before < 20, Equals(True))
                self.assertThat(count_outcomes(world), Equals({'answered'}))


class TakenBackTest(TestCase):
    """What happens once the operator removes the item."""

    def test_its_servers_get_flows_again_and_count_as_cold_at_first(self) -> None:
        world = make_world()
        server = next(iter(world.server_by_id.values())).backend_server
        evacuate(world)
        world.take_zone_back(0)
        # Its next status report says that the server is warm.
        entry = ServerListed(ServerRegistration(server, SERVICE, 1, 2))
        world.publish(f'servers/{server.id}', entry)
        for steering in world.steering_by_ip.values():
            left_s = steering.core.directory.warmup_left_s(server.id, world.now)
            self.assertThat(left_s, Equals(2.0))
        world.run(2.5)
        before = world.count_openings(0)
        world.start_flow()
        world.run(0.5)
        self.assertThat(world.count_openings(0), Equals(before + 1))

    def test_the_operator_sees_the_zone_drain(self) -> None:
        world = make_world()
        for _ in range(3):
            world.start_flow(work_s=0.5)
        world.run(0.05)
        evacuate(world)
        self.assertThat(read_gauges(world, 'evacuated_zones'), Equals([1.0, 1.0, 1.0]))
        self.assertThat(sum(read_gauges(world, 'evacuated_leases')), GreaterThan(2.0))
        world.run(2)
        self.assertThat(sum(read_gauges(world, 'evacuated_leases')), Equals(0.0))
        world.take_zone_back(0)
        self.assertThat(read_gauges(world, 'evacuated_zones'), Equals([0.0, 0.0, 0.0]))
        self.assertThat(len(log_details(world, LogEvent.ZONE_EVACUATED)), Equals(3))
        evacuated = sorted(set(log_details(world, LogEvent.ZONE_EVACUATED)))
        taken_back = sorted(set(log_details(world, LogEvent.ZONE_TAKEN_BACK)))
        self.assertThat(evacuated, Equals(['zone=zone-0 revision=6 era=1 servers=2']))
        self.assertThat(taken_back, Equals(['zone=zone-0 revision=7 era=1 servers=2']))


class SourceTest(TestCase):
    """Evacuations as items of a source that is restored, refuted, old or cut off."""

    def test_one_that_a_restore_lost_ends_after_the_grace_period(self) -> None:
        # Guards against a failback because the copy was older than the evacuation.
        world = make_world()
        copy = (dict(world.source_items), world.source_position.revision)
        evacuate(world)
        world.restore_source(*copy, reader_ip=READER_IP)
        world.run(SOURCE_RECOVERY_GRACE_S - 0.1)
        self.assertThat(evacuated_at(world), Equals({True}))
        world.run(SPREAD_S)
        self.assertThat(evacuated_at(world), Equals({False}))
        self.assertThat(len(log_details(world, LogEvent.ZONE_TAKEN_BACK)), Equals(3))

    def test_one_that_is_written_again_in_the_grace_period_never_ends(self) -> None:
        world = make_world()
        copy = (dict(world.source_items), world.source_position.revision)
        evacuate(world)
        world.restore_source(*copy, reader_ip=READER_IP)
        world.run(1)
        world.evacuate_zone(0, READER_IP)
        world.run(2 * SOURCE_RECOVERY_GRACE_S)
        self.assertThat(evacuated_at(world), Equals({True}))
        self.assertThat(log_details(world, LogEvent.ZONE_TAKEN_BACK), Equals([]))
        self.assertThat(len(log_details(world, LogEvent.ZONE_EVACUATED)), Equals(3))

    def test_one_that_a_restore_brings_back_is_in_force(self) -> None:
        world = make_world()
        evacuate(world)
        copy = (dict(world.source_items), world.source_position.revision)
        world.take_zone_back(0)
        world.run(SPREAD_S)
        self.assertThat(evacuated_at(world), Equals({False}))
        world.restore_source(*copy, reader_ip=READER_IP)
        world.run(SPREAD_S)
        self.assertThat(evacuated_at(world), Equals({True}))

    def test_one_that_the_source_has_not_reached_is_withdrawn(self) -> None:
        # Guards against a peer's false position, which would keep a zone out of use.
        world = make_world()
        steering = world.steering_by_ip[READER_IP]
        position = world.source_position
        world.evacuate_zone(0, READER_IP)
        refuted = steering.core.directory.position
        key = next(key for key in world.source_items if key.endswith(ZONE))
        world.source_items.pop(key)
        listing = SourceListing(position, tuple(world.source_items.values()))
        world.deliver_listing(READER_IP, listing, is_full_listing=True, refuted=refuted)
        self.assertThat(ZONE in steering.core.directory.evacuations, Equals(False))
        change = steering.core.directory.find_change(key)
        self.assertThat(change and change.position, Equals(position))

    def test_a_cut_off_zone_follows_once_it_is_back(self) -> None:
        for is_cut_when_evacuated in (True, False):
            world = make_world(instances=4)
            if not is_cut_when_evacuated:
                evacuate(world)
            world.partition_zone(1)
            if is_cut_when_evacuated:
                world.evacuate_zone(0, READER_IP)
            else:
                world.take_zone_back(0, READER_IP)
            world.run(SPREAD_S)
            self.assertThat(evacuated_at(world), Equals({True, False}))
            world.blocked_links.clear()
            world.run(2 * SPREAD_S)
            with self.subTest(is_cut_when_evacuated=is_cut_when_evacuated):
                self.assertThat(evacuated_at(world), Equals({is_cut_when_evacuated}))

    def test_an_older_directory_does_not_take_a_zone_back(self) -> None:
        world = make_world()
        older = SourceListing(world.source_position, tuple(world.source_items.values()))
        evacuate(world)
        world.deliver_listing(READER_IP, older, is_full_listing=True)
        world.run(SPREAD_S)
        self.assertThat(evacuated_at(world), Equals({True}))

    def test_an_instance_that_starts_learns_of_it_from_a_peer(self) -> None:
        world = make_world()
        evacuate(world)
        world.source_items.clear()
        world.kill_instance('10.0.0.3')
        world.start_instance(2)
        world.run(SPREAD_S)
        self.assertThat(evacuated_at(world), Equals({True}))
        reply = world.steering_by_ip['10.0.0.3'].directory_sync.encode_changes_after(START_POSITION)
        self.assertThat(any(row.key.endswith(ZONE) for row in reply.rows), Equals(True))


class SeriesTest(TestCase):
    """Random series of evacuations, restores, restarts and cuts, in small and large fleets."""

    def play(self, instances: int, seed: int) -> None:
        """Plays a series and checks that all instances hold what the store has in the end."""
        world = make_world(instances)
        rng = Random(seed)
        copies = [(dict(world.source_items), world.source_position.revision)]

        def random_ip() -> str:
            return rng.choice(sorted(world.steering_by_ip))

        def restart() -> None:
            number = rng.randrange(instances)
            world.kill_instance(f'10.0.0.{number + 1}')
            world.start_instance(number)

        def cut_zone() -> None:
            if world.blocked_links:
                world.blocked_links.clear()
            else:
                world.partition_zone(1)

        steps: tuple[Callable[[], object], ...] = (
            lambda: world.evacuate_zone(rng.randrange(2), random_ip()),
            lambda: world.take_zone_back(rng.randrange(2), random_ip()),
            lambda: copies.append((dict(world.source_items), world.source_position.revision)),
            lambda: world.restore_source(*rng.choice(copies), reader_ip=random_ip()),
            restart,
            cut_zone,
        )
        for _ in range(SERIES_STEPS):
            rng.choice(steps)()
            world.run(rng.random())
        world.blocked_links.clear()
        world.add_route(2, only_ip=READER_IP)
        world.run(2 * SPREAD_S + SOURCE_RECOVERY_GRACE_S)
        stored = frozenset(
            ZoneId(key.removeprefix(EVACUATION_PREFIX))
            for key in world.source_items
            if key.startswith(EVACUATION_PREFIX)
        )
        for steering in world.steering_by_ip.values():
            directory = steering.core.directory
            self.assertThat(directory.evacuations.zones, Equals(stored))
            accepting = directory.accepting_servers(SERVICE, world.now)
            zones = {server.zone for server in accepting}
            self.assertThat(zones, Equals({ZONE, ZoneId('zone-1')} - stored))

    def test_all_instances_agree_with_the_store_in_the_end(self) -> None:
        for instances, seeds in ((4, range(40)), (40, range(3))):
            for seed in seeds:
                with self.subTest(instances=instances, seed=seed):
                    self.play(instances, seed)
