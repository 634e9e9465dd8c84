"""Tests of the choice between servers of unequal speed."""

import heapq
from collections.abc import Callable, Sequence
from functools import partial
from itertools import count
from random import Random
from statistics import fmean, quantiles
from unittest import mock

import pytest
from testtools import TestCase
from testtools.matchers import Equals, GreaterThan, LessThan

from berylstair.ids import BackendId, Endpoint, FlowKey, InstanceId, ZoneId
from berylstair.lease_table import Lease, LeaseTable, Outcome, ServerState
from berylstair.record import BackendServer, BackendState
from berylstair.server_selection import PlacementConstraints, ServerCandidate, choose_server
from berylstair.server_speed import ServerSpeed, compare_speeds

ZONE = ZoneId('here')
SERVERS = 60
SLOTS = 2
MEAN_WORK_S = 0.034
NETWORK_S = 0.004
STRAGGLER_RATIO = 0.03
FAILURE_RATIO = 0.4
FAILURE_S = 0.002
# The first seconds, at half load, in which the speeds become known.
LEARNING_S = 7.0
MEASURED_S = 4.0
UNEQUAL = tuple(0.65 + 0.91 * index / (SERVERS - 1) for index in range(SERVERS))
ALIKE = (1.0,) * SERVERS
FAILING = tuple(range(3, SERVERS, 10))


def draw_work_s(rng: Random) -> float:
    """Returns a work time; a straggler takes six times the mean of the others."""
    if rng.random() < STRAGGLER_RATIO:
        return MEAN_WORK_S * 6
    return MEAN_WORK_S * rng.lognormvariate(-0.08, 0.4)


class LoadReplay:
    """Replays a load on servers that differ in speed, with one dispatching instance.

    Attributes:
        order: Index of the server of each flow, in order of placement.
        latencies_s: Time from the arrival to the answer of the flows that are measured.
        counts: Flows that are measured, by server.
    """

    def __init__(self, load: float, speeds: Sequence[float], failing: Sequence[int] = ()) -> None:
        """Runs the whole load.

        Args:
            load: Share of the servers' capacity after the learning time.
            speeds: Speed of each server.
            failing: Servers that fail part of their requests at once.
        """
        self.order: list[int] = []
        self.latencies_s: list[float] = []
        self.counts = [0 for _ in speeds]
        self._rng = Random(1)
        self._load = load
        self._speeds = speeds
        self._failing = frozenset(failing)
        self._table = LeaseTable()
        self._servers = [
            BackendServer(
                BackendId(f's{index}'),
                ZONE,
                Endpoint('10.1.0.1', 9000),
                SLOTS,
                2000,
                1.0,
                BackendState.ACTIVE,
            )
            for index in range(len(speeds))
        ]
        self._candidates = [
            ServerCandidate(server, self._table.server_state(server.id), False)
            for server in self._servers
        ]
        self._queues: list[list[tuple[float, FlowKey, float]]] = [[] for _ in speeds]
        self._busy = [0 for _ in speeds]
        self._waiting: list[tuple[float, FlowKey, float]] = []
        self._numbers = count()
        self._events: list[tuple[float, int, Callable[[float], None]]] = []
        self._schedule(0, self._arrive)
        self._schedule(1, self._compare)
        while self._events:
            now, _, run = heapq.heappop(self._events)
            run(now)

    def share(self, index: int) -> float:
        """Returns the flows that a server got, relative to the mean."""
        return self.counts[index] / fmean(self.counts)

    def mean_s(self) -> float:
        """Returns the mean time to the answer."""
        return fmean(self.latencies_s)

    def p99_s(self) -> float:
        """Returns the 99th percentile of the time to the answer."""
        return quantiles(self.latencies_s, n=100)[-1]

    def _schedule(self, at: float, run: Callable[[float], None]) -> None:
        heapq.heappush(self._events, (at, next(self._numbers), run))

    def _compare(self, now: float) -> None:
        self._table.compare_speeds(server.id for server in self._servers)
        self._table.prune_released(now)
        if now < LEARNING_S + MEASURED_S:
            self._schedule(now + 1, self._compare)

    def _arrive(self, now: float) -> None:
        load = 0.5 if now < LEARNING_S else self._load
        # Stragglers add 15% to the mean work time.
        rate = sum(self._speeds) * SLOTS / MEAN_WORK_S / 1.15 * load
        if now < LEARNING_S + MEASURED_S:
            self._schedule(now + self._rng.expovariate(rate), self._arrive)
        key = FlowKey(next(self._numbers).to_bytes(12, 'big'))
        self._waiting.append((now, key, draw_work_s(self._rng)))
        self._place(now)

    def _place(self, now: float) -> None:
        self._table.free_held_slots(now)
        constraints = PlacementConstraints(ZONE, 'status')
        while self._waiting:
            chosen = choose_server(self._candidates, constraints, now, requires_capacity=True)
            if chosen is None:
                return
            flow = self._waiting.pop(0)
            index = int(chosen.server.id[1:])
            lease = Lease(flow[1], chosen.server.id, 'status', InstanceId('e'), now)
            lease.is_queued = chosen.state.lease_count >= SLOTS
            self._table.add(lease, now)
            self.order.append(index)
            self._schedule(now + NETWORK_S, partial(self._begin, index, flow))

    def _begin(self, index: int, flow: tuple[float, FlowKey, float], now: float) -> None:
        self._queues[index].append(flow)
        self._start_queued(now, index)

    def _start_queued(self, now: float, index: int) -> None:
        while self._queues[index] and self._busy[index] < SLOTS:
            flow = self._queues[index].pop(0)
            self._busy[index] += 1
            fails = index in self._failing and self._rng.random() < FAILURE_RATIO
            work_s = FAILURE_S if fails else flow[2] / self._speeds[index]
            self._schedule(now + work_s, partial(self._end, index, flow))

    def _end(self, index: int, flow: tuple[float, FlowKey, float], now: float) -> None:
        self._busy[index] -= 1
        self._start_queued(now, index)
        if flow[0] > LEARNING_S:
            self.counts[index] += 1
            self.latencies_s.append(now - flow[0])
        self._schedule(now + NETWORK_S, partial(self._release, flow[1]))

    def _release(self, key: FlowKey, now: float) -> None:
        self._table.release(key, Outcome.DONE, now)
        self._place(now)


def replay_without_comparison(load: float, speeds: Sequence[float]) -> LoadReplay:
    """Replays a load with the choice that does not compare speeds."""
    with mock.patch.object(LeaseTable, 'compare_speeds'):
        return LoadReplay(load, speeds)


class ReplayTest(TestCase):
    """What callers get while the servers differ in speed."""

    def test_answers_come_sooner_from_unequal_servers(self) -> None:
        # Load; greatest ratio of the mean and of the 99th percentile to those without
        # the comparison. At 0.95 every slot is taken, so there is no choice left.
        for load, mean_ratio, p99_ratio in ((0.5, 0.98, 1.0), (0.7, 1.0, 1.0), (0.95, 1.01, 1.02)):
            before, after = replay_without_comparison(load, UNEQUAL), LoadReplay(load, UNEQUAL)
            self.assertThat(after.mean_s() / before.mean_s(), LessThan(mean_ratio))
            self.assertThat(after.p99_s() / before.p99_s(), LessThan(p99_ratio + 0.001))

    def test_fast_servers_get_more(self) -> None:
        replay = LoadReplay(0.7, UNEQUAL)
        fast = fmean(replay.share(index) for index in range(SERVERS - 10, SERVERS))
        slow = fmean(replay.share(index) for index in range(10))
        self.assertThat(fast, GreaterThan(2 * slow))

    def test_servers_that_fail_requests_get_no_more_than_the_mean(self) -> None:
        # Guards against the failure that attracts flows because it is over so soon.
        for load, speeds in ((0.5, UNEQUAL), (0.8, UNEQUAL), (0.95, UNEQUAL), (0.95, ALIKE)):
            replay = LoadReplay(load, speeds, FAILING)
            mean_share = fmean(replay.share(index) for index in FAILING)
            self.assertThat(mean_share, LessThan(1.0))

    def test_placement_is_the_same_while_servers_are_alike(self) -> None:
        for load in (0.6, 0.95):
            before, after = replay_without_comparison(load, ALIKE), LoadReplay(load, ALIKE)
            self.assertThat(after.order == before.order, Equals(True))


def make_speeds(
    speeds: Sequence[float], failing: Sequence[int] = (), samples: int = 128
) -> list[ServerSpeed]:
    """Returns servers with work times of given speeds, compared with each other."""
    rng = Random(3)
    servers = []
    for index, speed in enumerate(speeds):
        server = ServerSpeed()
        for _ in range(samples):
            fails = index in failing and rng.random() < FAILURE_RATIO
            work_s = FAILURE_S if fails else draw_work_s(rng) / speed
            server.add((work_s + 2 * NETWORK_S) / MEAN_WORK_S, 0)
        servers.append(server)
    compare_speeds(servers)
    return servers


# Speeds of the servers, those that fail requests, samples of each; bounds of the first
# server's and of the last one's relative time; servers found to fail requests.
SPEED_CASES = (
    (ALIKE, (), 128, (1.0, 1.0), (1.0, 1.0), 0),
    (UNEQUAL, (), 128, (1.2, 1.7), (0.6, 0.9), 0),
    (UNEQUAL, (), 32, (1.0, 1.0), (1.0, 1.0), 0),
    ((0.65, 1.0, 1.56), (), 128, (1.0, 1.0), (1.0, 1.0), 0),
    (ALIKE, FAILING, 128, (1.0, 1.0), (1.0, 1.0), len(FAILING)),
    (UNEQUAL, FAILING, 128, (1.2, 1.7), (0.6, 0.9), len(FAILING)),
    (UNEQUAL, (SERVERS - 1,), 128, (1.2, 1.7), (1.0, 1.0), 1),
    ((*ALIKE, 2.4), (), 128, (0.9, 1.1), (0.45, 1.0), 0),
)


@pytest.mark.parametrize(('speeds', 'failing', 'samples', 'first', 'last', 'found'), SPEED_CASES)
def test_speeds_are_told_from_failures(
    speeds: Sequence[float],
    failing: Sequence[int],
    samples: int,
    first: tuple[float, float],
    last: tuple[float, float],
    found: int,
) -> None:
    """Guards against chance, few samples or failures passing for speed."""
    servers = make_speeds(speeds, failing, samples)
    assert first[0] <= servers[0].relative_time <= first[1]
    assert last[0] <= servers[-1].relative_time <= last[1]
    assert sum(server.fails_requests for server in servers) == found


class ChoiceTest(TestCase):
    """How the speed counts in the choice."""

    def test_a_fast_server_attracts_flows_of_its_own_zone_only(self) -> None:
        # Zone of the faster of two servers; the one that is chosen.
        for zone, expected in ((ZONE, 'fast'), (ZoneId('there'), 'usual')):
            candidates = []
            for name, relative_time, server_zone in (('usual', 1.0, ZONE), ('fast', 0.6, zone)):
                address = Endpoint('10.1.0.1', 9000)
                server = BackendServer(
                    BackendId(name), server_zone, address, 2, 2000, 1.0, BackendState.ACTIVE
                )
                state = ServerState(speed=ServerSpeed(relative_time))
                state.speed.add(relative_time, 0)
                candidates.append(ServerCandidate(server, state, False))
            chosen = choose_server(candidates, PlacementConstraints(ZONE, 'status'), 0)
            self.assertThat(chosen.server.id if chosen else '', Equals(expected))

    def test_a_speed_that_nothing_confirms_is_forgotten(self) -> None:
        servers = make_speeds(UNEQUAL)
        self.assertThat(servers[-1].expected_time(0), LessThan(0.9))
        self.assertThat(servers[-1].expected_time(300), GreaterThan(0.99))
