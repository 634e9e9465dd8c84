"""Tests of open flows that were offered to several servers, once their callers have paused.

A server that was offered a flow in vain goes on answering the opening segment for
seconds. Each of its answers leaves the tag that it last received with the caller, whose
next segment may go to an instance that knows nothing of the flow.
"""

from collections.abc import Callable
from functools import partial

from testtools import TestCase
from testtools.matchers import Equals, GreaterThan

from berylstair.ids import FlowKey
from berylstair.segment import Segment
from berylstair.steering import SteeringInstance
from berylstair.steering_action import SendSegment
from emulator.simulation import SERVICE_ADDRESS, CallerFlow, SimulatedWorld

ZONES = 2
INSTANCES = 6
FLOWS_PER_S = 60
OPENING_S = 3.0
# Longer than a server goes on answering an opening segment, shorter than the idle timeout.
CALLER_PAUSE_S = 11.0
RESTART_S = 2.5
# Callers send their opening segment again after 0.2 s and 0.6 s, and give up after 1.4 s.
SUPERSEDED_AFTER_S = (0.2, 0.4, 0.8)


def make_world(instances: int = 6, servers: int = 4, seed: int = 1) -> SimulatedWorld:
    """Starts a simulation whose servers repeat their answers to opening segments."""
    world = SimulatedWorld(instances, ZONES, seed)
    world.repeats_accepts = True
    world.add_route()
    world.add_servers(servers)
    world.run(2)
    return world


def open_flows(world: SimulatedWorld, seconds: float = OPENING_S) -> list[CallerFlow]:
    """Schedules flows that stay open, at a steady rate."""
    flows: list[CallerFlow] = []

    def open_one(zone: int) -> None:
        flows.append(world.start_flow(zone, stays_open=True))

    for number in range(int(seconds * FLOWS_PER_S)):
        world.schedule(number / FLOWS_PER_S, partial(open_one, number % ZONES))
    return flows


def restart_each(world: SimulatedWorld) -> None:
    """Stops half of the instances as planned, and starts them again."""
    for number in range(INSTANCES // 2):
        world.steering_by_ip[f'10.0.0.{number + 1}'].request_stop(world.now)
    world.run(RESTART_S)
    for number in range(INSTANCES // 2):
        world.start_instance(number)


def join_some(world: SimulatedWorld) -> None:
    """Adds an instance in each zone."""
    for number in range(ZONES):
        world.start_instance(INSTANCES + number)


def restart_all(world: SimulatedWorld) -> None:
    """Replaces all instances, a few at a time, so that none is left that saw a flow open."""
    for first in range(0, INSTANCES, 2):
        for number in (first, first + 1):
            world.steering_by_ip[f'10.0.0.{number + 1}'].request_stop(world.now)
        world.run(RESTART_S)
        for number in (first, first + 1):
            world.start_instance(number)
        world.run(0.5)


def change_nothing(_world: SimulatedWorld) -> None:
    """Leaves the rotation as it is."""


ROTATION_CHANGES: tuple[Callable[[SimulatedWorld], None], ...] = (
    restart_each,
    join_some,
    restart_all,
    change_nothing,
)


def lose_answers(world: SimulatedWorld) -> list[CallerFlow]:
    """Opens flows while answers to opening segments, and some of these, are lost."""
    flows = open_flows(world)
    world.accept_loss_ratio = 0.2
    world.opening_loss_ratio = 0.04
    world.run(OPENING_S)
    world.accept_loss_ratio = 0.0
    world.opening_loss_ratio = 0.0
    return flows


def answer_late(world: SimulatedWorld) -> list[CallerFlow]:
    """Opens flows at servers of which some answer after the next offer."""
    flows = open_flows(world)
    for number, server in enumerate(world.server_by_id.values()):
        server.accept_delay_s = 0.07 * (number % 3)
    world.run(OPENING_S)
    return flows


def freeze_in_turn(world: SimulatedWorld, pause_s: float) -> list[CallerFlow]:
    """Opens flows while the instances are frozen in turn; those left out of rotation return."""
    flows = open_flows(world, INSTANCES * (pause_s + 0.3))
    for ip in list(world.steering_by_ip):
        world.freeze(ip, pause_s)
        world.schedule(pause_s / 2, lambda target=ip: world.unready_ips.add(target))
        world.schedule(pause_s + 0.2, lambda target=ip: world.unready_ips.discard(target))
        world.run(pause_s + 0.3)
    return flows


def freeze_shortly(world: SimulatedWorld) -> list[CallerFlow]:
    """Freezes the instances for less than the others notice."""
    return freeze_in_turn(world, 0.9)


def freeze_very_shortly(world: SimulatedWorld) -> list[CallerFlow]:
    """Freezes the instances for less than a caller waits before it gives up."""
    return freeze_in_turn(world, 0.45)


def freeze_long(world: SimulatedWorld) -> list[CallerFlow]:
    """Freezes the instances for longer than callers wait."""
    return freeze_in_turn(world, 3.0)


def change_rotation(world: SimulatedWorld) -> list[CallerFlow]:
    """Opens flows while answers are lost and instances leave the rotation and return."""
    flows = open_flows(world)
    world.accept_loss_ratio = 0.1
    for step in range(int(OPENING_S * 20)):
        ip = f'10.0.0.{step % (INSTANCES - 1) + 1}'
        toggle = world.unready_ips.discard if ip in world.unready_ips else world.unready_ips.add
        toggle(ip)
        world.run(0.05)
    world.accept_loss_ratio = 0.0
    world.unready_ips.clear()
    return flows


DISRUPTIONS: tuple[Callable[[SimulatedWorld], list[CallerFlow]], ...] = (
    lose_answers,
    answer_late,
    freeze_shortly,
    freeze_very_shortly,
    freeze_long,
    change_rotation,
)


class IdleFlowTest(TestCase):
    """Whatever changes while the callers pause, their next segments reach the flow's server."""

    def check(
        self,
        disrupt: Callable[[SimulatedWorld], list[CallerFlow]],
        change: Callable[[SimulatedWorld], None],
        seed: int,
    ) -> None:
        """Opens flows, changes the rotation, and sends the callers' next requests."""
        world = make_world(seed=seed)
        flows = disrupt(world)
        world.run(2)
        paused_at = world.now
        change(world)
        world.run(CALLER_PAUSE_S - (world.now - paused_at))
        answered = [flow for flow in flows if flow.outcome == 'answered']
        self.assertThat(len(answered), GreaterThan(len(flows) // 2))
        before = world.misrouted_segments
        for flow in answered:
            world.send_next_request(flow)
        world.run(1)
        self.assertThat(world.misrouted_segments - before, Equals(0))

    def test_no_server_that_was_offered_a_flow_in_vain_gets_its_next_segment(self) -> None:
        for seed, disrupt in enumerate(DISRUPTIONS):
            for change in ROTATION_CHANGES:
                with self.subTest(disruption=disrupt.__name__, change=change.__name__):
                    self.check(disrupt, change, seed)


class SupersededOpeningTest(TestCase):
    """Opening segments that waited at the machine, as while the process was paused."""

    def take_offers(self, steering: SteeringInstance) -> list[SendSegment]:
        """Returns the segments that an instance sends to servers."""
        return [action for action in steering.take_actions() if isinstance(action, SendSegment)]

    def test_an_opening_that_its_caller_has_sent_again_since_is_not_offered(self) -> None:
        for copies, limit_s in enumerate(SUPERSEDED_AFTER_S):
            for waited_s, is_offered in ((limit_s - 0.01, True), (limit_s + 0.01, False)):
                world = make_world(instances=1, servers=2)
                steering = next(iter(world.steering_by_ip.values()))
                steering.take_actions()
                address = bytes((198, 18, 0, 1)) + SERVICE_ADDRESS.port.to_bytes(2, 'big')
                key = FlowKey(bytes(6) + address)
                opening = Segment(key, True, False, False, 7, copies, 0, b'')
                steering.handle_segment(opening, world.now, waited_s)
                with self.subTest(copies=copies, waited_s=waited_s):
                    self.assertThat(bool(self.take_offers(steering)), Equals(is_offered))


class OfferedInVainTest(TestCase):
    """What the servers that were offered a flow in vain get once it is open elsewhere."""

    def test_they_get_the_tag_of_the_flows_server_in_few_segments(self) -> None:
        world = make_world(instances=1, servers=2)
        for server in world.server_by_id.values():
            server.accept_delay_s = 0.1
        flow = world.start_flow(stays_open=True, work_s=0.01)
        world.run(3)
        own_tag = world.server_by_id[flow.backend_id].tag_by_flow[flow.key]
        others = [
            server
            for server in world.server_by_id.values()
            if server.backend_server.id != flow.backend_id
        ]
        self.assertThat([server.tag_by_flow[flow.key] for server in others], Equals([own_tag]))
        world.run(CALLER_PAUSE_S)
        self.assertThat(flow.tag, Equals(own_tag))
