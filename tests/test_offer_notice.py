"""Tests of flows that were placed without the dispatching instance, and open elsewhere.

Guards against resets of open flows by servers that were offered them in vain: the
instance that made the offer is not told at which server the flow is open, so that
the tag of the other server is not corrected.
"""

from collections import Counter
from collections.abc import Callable
from functools import partial
from itertools import repeat
from typing import Any

from testtools import TestCase
from testtools.matchers import Equals, GreaterThan, LessThan

from berylstair.catalogue import LogEvent
from berylstair.counter import Traffic
from berylstair.ids import FlowKey
from berylstair.lease_table import RELEASED_RETENTION_S, Outcome
from berylstair.offer_notice import MAX_NOTICES_PER_REPORT
from berylstair.segment import Segment
from berylstair.steering import SteeringInstance
from berylstair.steering_action import SendMessage, SendSegment
from berylstair.steering_message import (
    LeaseReport,
    LeaseRow,
    OfferNoticeBatch,
    OfferNoticeRow,
    ReleaseBatch,
    ReleaseRow,
)
from berylstair.tag import tag_of
from emulator.simulation import SERVICE, CallerFlow, SimulatedWorld

FLOW = FlowKey(bytes(12))
ZONES = 2
# More reachable peers than are told of every flow that others may have offered too.
LARGE_FLEET = 40
SMALL_FLEET = 24
SERVERS = 12
FLOWS_PER_S = 80
OPENING_S = 3.0
ROTATION_CHANGE_S = 0.3
LOST_ANSWERS_RATIO = 0.3
# Longer than a server goes on answering an opening segment, shorter than the idle timeout.
CALLER_PAUSE_S = 11.0
FREEZE_S = 0.8


def make_world(instances: int, seed: int) -> SimulatedWorld:
    """Starts a simulation whose servers repeat their answers to opening segments."""
    world = SimulatedWorld(instances, ZONES, seed)
    world.repeats_accepts = True
    world.add_route()
    world.add_servers(SERVERS)
    world.run(3)
    return world


def nodes(world: SimulatedWorld) -> list[SteeringInstance]:
    """Returns the instances."""
    return list(world.steering_by_ip.values())


def node_ip(node: SteeringInstance) -> str:
    """Returns the IP address of an instance."""
    return node.core.settings.peer_endpoint.ip


def find_dispatcher_ip(world: SimulatedWorld) -> str:
    """Returns the address of the instance that all instances ask for placements."""
    names = {node.core.fleet.find_dispatcher(SERVICE, world.now) for node in nodes(world)}
    return next(node_ip(node) for node in nodes(world) if {node.core.fleet.own_id} == names)


def block_replies(world: SimulatedWorld, dispatcher: str) -> None:
    """Blocks the dispatching instance's messages to half of the others."""
    for ip in list(world.steering_by_ip)[::2]:
        world.blocked_links.add((dispatcher, ip))


def cut_from_half(world: SimulatedWorld, dispatcher: str) -> None:
    """Blocks the links between the dispatching instance and half of the others."""
    block_replies(world, dispatcher)
    world.blocked_links.update([(ip, source) for source, ip in world.blocked_links])


def freeze_repeatedly(world: SimulatedWorld, dispatcher: str) -> None:
    """Freezes the dispatching instance several times for less than the others notice."""
    for start_s in range(int(OPENING_S)):
        world.schedule(start_s, partial(world.freeze, dispatcher, FREEZE_S))


def kill(world: SimulatedWorld, dispatcher: str) -> None:
    """Kills the dispatching instance after a while."""
    world.schedule(OPENING_S / 2, lambda: world.kill_instance(dispatcher))


def cut_zone(world: SimulatedWorld, _dispatcher: str) -> None:
    """Cuts a zone off from the other one."""
    world.partition_zone(1)


# Instances, seed and disruption; each had 1 to 6 segments at wrong servers without notices.
CASES: tuple[tuple[int, int, Callable[[SimulatedWorld, str], None]], ...] = (
    (LARGE_FLEET, 2, block_replies),
    (LARGE_FLEET, 2, cut_from_half),
    (LARGE_FLEET, 2, freeze_repeatedly),
    (LARGE_FLEET, 3, kill),
    (LARGE_FLEET, 2, cut_zone),
    (SMALL_FLEET, 4, block_replies),
    (SMALL_FLEET, 2, cut_from_half),
)


def open_flows(
    world: SimulatedWorld, disrupt: Callable[[SimulatedWorld, str], None]
) -> list[CallerFlow]:
    """Opens flows during a disruption, while answers are lost and the rotation changes."""
    flows: list[CallerFlow] = []

    def open_one(zone: int) -> None:
        flows.append(world.start_flow(zone, work_s=0.02, stays_open=True))

    for number in range(int(OPENING_S * FLOWS_PER_S)):
        world.schedule(number / FLOWS_PER_S, partial(open_one, number % ZONES))
    dispatcher = find_dispatcher_ip(world)
    others = [ip for ip in world.steering_by_ip if ip != dispatcher]
    world.accept_loss_ratio = LOST_ANSWERS_RATIO
    disrupt(world, dispatcher)
    for step in range(int(OPENING_S / ROTATION_CHANGE_S)):
        ip = others[step * 7 % len(others)]
        toggle = world.unready_ips.discard if ip in world.unready_ips else world.unready_ips.add
        toggle(ip)
        world.run(ROTATION_CHANGE_S)
    world.accept_loss_ratio = 0.0
    world.unready_ips.clear()
    world.blocked_links.clear()
    return flows


class SilentDispatcherTest(TestCase):
    """Flows whose dispatching instance does not respond stay at their server."""

    def check(
        self, instances: int, disrupt: Callable[[SimulatedWorld, str], None], seed: int
    ) -> None:
        """Opens flows during a disruption and sends the callers' next requests after a pause."""
        world = make_world(instances, seed)
        flows = open_flows(world, disrupt)
        world.run(CALLER_PAUSE_S)
        events = Counter(entry.event_number for _, entry in world.log_entries)
        self.assertThat(events[LogEvent.DISPATCHER_SILENT], GreaterThan(0))
        answered = [flow for flow in flows if flow.outcome == 'answered']
        self.assertThat(len(answered), GreaterThan(len(flows) * 0.9))
        for flow in answered:
            world.send_next_request(flow)
        world.run(1)
        self.assertThat(world.misrouted_segments, Equals(0))

    def test_no_server_resets_an_open_flow_that_an_instance_placed_itself(self) -> None:
        for instances, seed, disrupt in CASES:
            with self.subTest(instances=instances, disruption=disrupt.__name__):
                self.check(instances, disrupt, seed)


class OfferNoticeTest(TestCase):
    """Who is told at which server a flow is open, and at what cost."""

    def setUp(self) -> None:
        """Starts a small fleet with a server."""
        super().setUp()
        self.start_fleet()

    def start_fleet(self) -> None:
        """Starts the instances and clears what the dispatching one has sent."""
        self.world = SimulatedWorld(instances=4)
        self.world.add_route()
        self.world.add_servers(1)
        self.world.run(2)
        self.dispatcher = self.world.steering_by_ip[find_dispatcher_ip(self.world)]
        others = [ip for ip in self.world.steering_by_ip if ip != node_ip(self.dispatcher)]
        self.holder, self.opener = others[:2]
        self.tag = tag_of(next(iter(self.world.server_by_id)))
        self.take_rows()

    def take_rows(self) -> list[tuple[str, Any]]:
        """Returns receiver and row of each release that the dispatching instance sends."""
        return [
            (action.target.ip, row)
            for action in self.dispatcher.take_actions()
            if isinstance(action, SendMessage) and isinstance(action.message, ReleaseBatch)
            for row in action.message.rows
        ]

    def test_a_holder_is_told_whether_its_notice_or_the_release_comes_first(self) -> None:
        release = ReleaseRow(FLOW, SERVICE, Outcome.ENDED, self.tag)
        messages = (
            (self.holder, OfferNoticeBatch((OfferNoticeRow(FLOW, SERVICE),))),
            (self.opener, ReleaseBatch((release,))),
        )
        for order in (messages, tuple(reversed(messages))):
            self.start_fleet()
            for ip, message in order:
                self.dispatcher.handle_message(ip, message, self.world.now)
            self.assertThat(self.take_rows(), Equals([(self.holder, release)]))

    def test_a_holder_that_has_given_up_its_lease_is_told_of_the_server(self) -> None:
        report = LeaseReport(SERVICE, (LeaseRow(FLOW, 'i-0001', 'status', 10),))
        given_up = ReleaseRow(FLOW, SERVICE, Outcome.ENDED)
        release = given_up._replace(tag=self.tag)
        for ip, message in (
            (self.holder, report),
            (self.holder, ReleaseBatch((given_up,))),
            (self.opener, ReleaseBatch((release,))),
            (self.opener, ReleaseBatch((release,))),
        ):
            self.dispatcher.handle_message(ip, message, self.world.now)
        self.assertThat(self.take_rows(), Equals([(self.holder, release)]))

    def test_an_instance_where_a_flow_is_open_tells_one_that_counts_it_as_given_up(self) -> None:
        flow = self.world.start_flow(stays_open=True, work_s=5)
        self.world.run(0.1)
        key = flow.key
        (opener,) = [node for node in nodes(self.world) if node.core.flows.get(key)]
        opener.take_actions()
        message = ReleaseBatch((ReleaseRow(key, SERVICE, Outcome.SILENT),))
        peer = next(ip for ip in self.world.steering_by_ip if ip != node_ip(opener))
        opener.handle_message(peer, message, self.world.now)
        sent = [action for action in opener.take_actions() if isinstance(action, SendMessage)]
        self.assertThat(
            [(each.target.ip, each.message.rows) for each in sent],
            Equals([(peer, (ReleaseRow(key, SERVICE, Outcome.ENDED, self.tag),))]),
        )

    def test_no_notice_is_sent_while_the_dispatching_instance_responds(self) -> None:
        for zone in repeat(0, 50):
            self.world.start_flow(zone, work_s=0.01)
        self.world.run(5)
        self.assertThat(self.world.sent_messages['OfferNoticeBatch'], Equals(0))

    def test_a_stopping_instance_without_peers_offers_flows(self) -> None:
        world = SimulatedWorld(instances=1)
        world.add_route()
        world.add_servers(1)
        world.run(1)
        steering = world.steering_by_ip['10.0.0.1']
        steering.request_stop(world.now)
        steering.take_actions()
        opening = Segment(world.start_flow().key, True, False, False, 7, 0, 0, b'')
        steering.handle_segment(opening, world.now, 0)
        sent = [action for action in steering.take_actions() if isinstance(action, SendSegment)]
        self.assertThat(len(sent), Equals(1))

    def test_notices_are_bounded_in_number_and_time(self) -> None:
        # All servers are down, so that no server of any flow becomes known.
        for server in self.world.server_by_id.values():
            server.is_dead = True
        for zone in repeat(0, 5 * MAX_NOTICES_PER_REPORT):
            self.world.start_flow(zone)
        self.world.run(3)
        notices = self.count_notices()
        self.assertThat(notices, GreaterThan(0))
        self.world.run(1)
        self.assertThat(
            self.count_notices() - notices, LessThan(4 * 2 * MAX_NOTICES_PER_REPORT + 1)
        )
        self.world.run(RELEASED_RETENTION_S)
        notices = self.count_notices()
        self.world.run(5)
        self.assertThat(self.count_notices() - notices, Equals(0))

    def count_notices(self) -> int:
        """Returns the number of notices sent by all instances."""
        return sum(node.core.counters.traffic[Traffic.OFFER_NOTICES] for node in nodes(self.world))
