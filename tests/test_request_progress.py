"""Tests of servers that open flows and answer no request."""

from collections.abc import Callable
from functools import partial
from random import Random
from unittest import mock

import pytest
from testtools import TestCase
from testtools.matchers import Equals, GreaterThan, HasLength, LessThan

from berylstair.catalogue import LogEvent
from berylstair.ids import BackendId, FlowKey, InstanceId
from berylstair.lease_table import Lease, LeaseTable, Outcome
from berylstair.request_progress import (
    MAX_PERIOD_S,
    RequestProgress,
    StalledRequest,
    limit_set_aside,
    min_stall_s,
)
from berylstair.steering_message import StalledRequestBatch
from berylstair.steering_metrics import render_steering_metrics
from berylstair.tag import tag_of
from emulator.simulation import SERVICE, SimulatedWorld

SERVER = BackendId('i-1')
HOLDER = InstanceId('entry-1')
ZONES = 3
SERVERS = 12
SLOTS = 2
MEAN_WORK_S = 0.034
STRAGGLER_RATIO = 0.03
STRAGGLER_WORK_S = 6 * MEAN_WORK_S
# Requests per second at which all slots are taken, with the network's share of a slot's time.
FULL_LOAD_PER_S = 540
FAULT_S = 6
# Slownesses of servers that differ by 2.4 times in speed.
UNEQUAL = (0.65, 0.9, 1.0, 1.3, 1.56)


def request(name: str, sent_at: float) -> StalledRequest:
    """Returns a request on ``SERVER``."""
    return StalledRequest(FlowKey(name.encode()), SERVER, 'status', sent_at)


# Steps at ``SERVER``: stalls (S, flow, sent at, time), finished requests (F, time) and
# leases (L, time); time of the question and whether the server is set aside then.
PROGRESS_CASES = (
    ((('S', 'a', 0, 1),), 1.1, False),
    ((('S', 'a', 0, 1), ('S', 'b', 0, 1)), 1.1, True),
    ((('S', 'a', 0, 1), ('S', 'a', 0, 1.5)), 1.6, False),
    ((('S', 'a', 0, 1), ('F', 1.1), ('S', 'b', 1, 1.5)), 1.6, False),
    ((('F', 0.5), ('S', 'a', 0, 1), ('S', 'b', 0, 1)), 1.1, False),
    ((('S', 'a', 0, 1), ('S', 'b', 0, 1), ('F', 1.2)), 1.3, False),
    ((('S', 'a', 0, 1), ('S', 'b', 0, 1)), 2.1, False),
    ((('S', 'a', 0, 1), ('S', 'b', 0, 1), ('L', 2.1)), 2.2, True),
    ((('S', 'a', 0, 1), ('S', 'b', 0, 1), ('L', 2.1), ('S', 'c', 2.1, 2.6)), 4.5, True),
    ((('S', 'a', 0, 1), ('S', 'b', 0, 1), ('S', 'c', 0.9, 1.4)), 2.5, False),
)


@pytest.mark.parametrize(('steps', 'asked_at', 'is_set_aside'), PROGRESS_CASES)
def test_two_stalls_in_a_row_set_a_server_aside(
    steps: tuple[tuple[object, ...], ...], asked_at: float, is_set_aside: bool
) -> None:
    """Guards against one slow request, or one reported twice, setting a server aside."""
    progress = RequestProgress()
    for kind, *values in steps:
        if kind == 'S':
            name, sent_at, now = values
            progress.record_stall(request(str(name), float(str(sent_at))), float(str(now)))
        elif kind == 'F':
            progress.record_finish(float(str(values[0])))
        else:
            progress.record_lease(float(str(values[0])))
    assert progress.is_set_aside(asked_at) == is_set_aside


@pytest.mark.parametrize(
    ('servers', 'stalled', 'set_aside'),
    [(2, 1, 0), (3, 1, 1), (60, 20, 20), (60, 21, 0), (5, 5, 0)],
)
def test_at_most_a_third_is_set_aside(servers: int, stalled: int, set_aside: int) -> None:
    """Guards against a fault of the instances' links taking most servers out of use."""
    progresses = [RequestProgress() for _ in range(servers)]
    for progress in progresses[:stalled]:
        progress.record_stall(request('a', 0), 1)
        progress.record_stall(request('b', 0), 1)
    limit_set_aside(progresses)
    assert sum(progress.is_set_aside(1.1) for progress in progresses) == set_aside


class LeaseTableTest(TestCase):
    """What the lease table counts as a stalled request."""

    def make_table(self, finished: int = 32) -> LeaseTable:
        """Returns a table that has seen some requests finish at another server."""
        table = LeaseTable()
        for number in range(finished):
            flow = FlowKey(str(number).encode())
            table.add(Lease(flow, BackendId('i-2'), 'status', HOLDER, 0), 0)
            table.release(flow, Outcome.DONE, MEAN_WORK_S)
        return table

    def test_the_usual_work_time_must_be_known(self) -> None:
        # Finished requests of the kind; age of the stalled ones relative to the least.
        for finished, age_ratio, is_counted in ((32, 1.1, True), (32, 0.9, False), (8, 9, False)):
            table = self.make_table(finished)
            now = min_stall_s(MEAN_WORK_S) * age_ratio
            for name in ('a', 'b'):
                table.record_stalled_request(request(name, 0), now)
            is_set_aside = table.server_state(SERVER).is_avoided(now)
            self.assertThat(is_set_aside, Equals(is_counted))

    def test_a_late_answer_clears_the_suspicion_after_its_lease_has_expired(self) -> None:
        table = self.make_table()
        for name in ('a', 'b'):
            table.add(Lease(FlowKey(name.encode()), SERVER, 'status', HOLDER, 0), 0)
            table.record_stalled_request(request(name, 0), 1)
        table.prune_expired(3)
        self.assertThat(table.server_state(SERVER).is_avoided(1.1), Equals(True))
        table.release(FlowKey(b'a'), Outcome.DONE, 1.2, tag_of(SERVER))
        self.assertThat(table.server_state(SERVER).is_avoided(1.3), Equals(False))


def start_flow(world: SimulatedWorld, zone: int, work_s: float) -> None:
    """Starts one request."""
    world.start_flow(zone, work_s)


def replay_load(
    load_ratio: float,
    silent: int = 0,
    slownesses: tuple[float, ...] = (1.0,),
    observe: Callable[[SimulatedWorld], object] = id,
) -> SimulatedWorld:
    """Replays requests with stragglers; some servers are silent for ``FAULT_S``.

    Args:
        load_ratio: Share of the slots that the load takes.
        silent: Number of silent servers.
        slownesses: Factors on the work of the servers, in rotation.
        observe: Called in the middle of the fault.
    """
    world = SimulatedWorld(6, ZONES)
    world.add_route()
    world.add_servers(SERVERS, SLOTS)
    for index, server in enumerate(world.server_by_id.values()):
        server.slowness = slownesses[index % len(slownesses)]
    rng = Random(1)
    start_s = 2.0
    while start_s < 4 + FAULT_S + 2:
        start_s += rng.expovariate(FULL_LOAD_PER_S * load_ratio)
        is_straggler = rng.random() < STRAGGLER_RATIO
        work_s = STRAGGLER_WORK_S if is_straggler else MEAN_WORK_S * rng.lognormvariate(-0.08, 0.4)
        zone = rng.randrange(ZONES)
        world.schedule(start_s, partial(start_flow, world, zone, work_s))
    world.run(4)
    for server in list(world.server_by_id.values())[:silent]:
        server.is_silent = True
    world.run(FAULT_S / 2)
    observe(world)
    world.run(FAULT_S / 2)
    for server in world.server_by_id.values():
        server.is_silent = False
    world.run(5)
    return world


def lost_requests(world: SimulatedWorld) -> int:
    """Returns the number of requests that opened a flow and got no answer."""
    return sum(not flow.outcome for flow in world.flow_by_key.values())


def append_gauge(gauges: list[str], world: SimulatedWorld) -> None:
    """Appends how many servers the dispatching instance has set aside."""
    steerings = list(world.steering_by_ip.values())
    dispatcher = steerings[0].core.fleet.find_dispatcher(SERVICE, world.now)
    steering = next(each for each in steerings if each.core.fleet.own_id == dispatcher)
    lines = render_steering_metrics(steering, world.now).splitlines()
    gauges.extend(
        line.split()[1] for line in lines if line.startswith('berylstair_servers_set_aside ')
    )


def events(world: SimulatedWorld, event: LogEvent) -> list[str]:
    """Returns the details of the log entries of one event."""
    return [entry.detail for _, entry in world.log_entries if entry.event_number == event]


class ReplayTest(TestCase):
    """Placement while servers are silent, slow or well."""

    def test_a_silent_server_loses_few_requests(self) -> None:
        # Until it is set aside, a server gets one flow for each lease: its slots and one
        # more. Then it gets one probe per period, and one may be on the way.
        per_server = SLOTS + 1 + 1 + round(FAULT_S / MAX_PERIOD_S)
        for load_ratio, silent in ((0.9, 1), (0.6, 4)):
            world = replay_load(load_ratio, silent)
            self.assertThat(lost_requests(world), LessThan(per_server * silent + 1))
            self.assertThat(lost_requests(world), GreaterThan(silent))

    def test_without_the_mechanism_more_are_lost(self) -> None:
        with mock.patch.object(RequestProgress, 'is_set_aside', lambda _progress, _now: False):
            self.assertThat(lost_requests(replay_load(0.9, 1)), GreaterThan(14))

    def test_a_recovered_server_is_used_again(self) -> None:
        world = replay_load(0.6, 1)
        first = next(iter(world.server_by_id))
        answered_late = [
            flow
            for flow in world.answered_flows()
            if flow.backend_id == first and flow.started_at > 100 + 4 + FAULT_S
        ]
        self.assertThat(len(answered_late), GreaterThan(5))

    def test_half_of_the_servers_are_not_set_aside(self) -> None:
        # Guards against a fault of the instances' own links taking the servers out of use.
        for silent, expected in ((4, ['4.0']), (6, ['0.0'])):
            gauges: list[str] = []
            replay_load(0.4, silent, observe=partial(append_gauge, gauges))
            self.assertThat(gauges, Equals(expected))

    def test_stragglers_and_slow_servers_under_full_load_are_no_silent_servers(self) -> None:
        for load_ratio, slownesses in ((0.6, (1.0,)), (0.95, (1.0,)), (0.95, UNEQUAL)):
            world = replay_load(load_ratio, 0, slownesses)
            self.assertThat(events(world, LogEvent.SERVER_SET_ASIDE), HasLength(0))

    def test_placement_is_the_same_while_no_server_is_silent(self) -> None:
        world = replay_load(0.9)
        with mock.patch.object(RequestProgress, 'is_set_aside', lambda _progress, _now: False):
            unchanged = replay_load(0.9)
        placements = events(world, LogEvent.FLOW_PLACED)
        self.assertThat(len(placements), GreaterThan(4000))
        self.assertThat(placements, Equals(events(unchanged, LogEvent.FLOW_PLACED)))


class WatchedFlowTest(TestCase):
    """Which flows are reported."""

    def open_flows(self, data_length: int) -> SimulatedWorld:
        """Opens flows whose callers' first segment has ``data_length`` bytes of data."""
        world = SimulatedWorld(4, 2)
        world.add_route()
        world.add_servers(4)
        world.run(2)
        for server in world.server_by_id.values():
            server.is_silent = True

        with mock.patch('emulator.simulation.REQUEST_BYTES', data_length):
            for number in range(10):
                world.start_flow(number % 2)
            world.run(3)
        return world

    def test_a_caller_that_has_sent_no_request_is_not_waiting(self) -> None:
        # Guards against callers that open flows early, for later use, excluding servers.
        self.assertThat(self.open_flows(0).sent_messages['StalledRequestBatch'], Equals(0))

    def test_reports_are_bounded(self) -> None:
        reports = self.open_flows(100).sent_messages[StalledRequestBatch.__name__]
        self.assertThat(reports, GreaterThan(0))
        self.assertThat(reports, LessThan(2 * 10 + 1))

    def test_a_caller_that_closes_a_stalled_flow_has_no_answer(self) -> None:
        # Guards against the end of a lost request clearing the suspicion.
        world = self.open_flows(100)
        ended = len(events(world, LogEvent.FLOW_ENDED))
        for flow in list(world.flow_by_key.values()):
            world.send_from_caller(flow, world._make_segment(flow)._replace(is_closing=True))
        world.run(0.1)
        details = events(world, LogEvent.FLOW_ENDED)[ended:]
        self.assertThat(len(details), Equals(10))
        self.assertThat([each for each in details if 'outcome=done' in each], HasLength(0))
