"""Replays load patterns on simulated steering instances and rates the responses to callers."""

import math
from collections.abc import Callable, Mapping
from dataclasses import dataclass
from random import Random

from emulator.simulation import CallerFlow, SimulatedWorld

__all__ = ['PATTERN_BY_NAME', 'CallerLoad', 'CallerRequest', 'ReplayResult', 'replay_pattern']

# Work of a short request with its stragglers, as in the users' specification.
MEAN_WORK_S = 0.047
WORK_LOG_STD_DEVIATION = 0.5
STRAGGLER_RATIO = 0.03
STRAGGLER_WORK_FACTOR = 7.0
MAX_WORK_S = 0.5
_MEDIAN_WORK_S = (
    MEAN_WORK_S
    / math.exp(WORK_LOG_STD_DEVIATION**2 / 2)
    / (1 + STRAGGLER_RATIO * (STRAGGLER_WORK_FACTOR - 1))
)
LATENCY_TARGET_S = 0.25
DEADLINE_S = 2.5
LATE_ANSWER_VALUE = 0.3
MAX_RETRIES = 2
INSTANCES = 8
ZONES = 3
SERVERS = 7
WARMUP_S = 2.0
INSTANCE_OUTAGE_S = 1.3
RESTART_JITTER_S = 0.1
SERVER_OUTAGE_S = 3.0


@dataclass(slots=True)
class CallerRequest:
    """One request of a caller, over all of its attempts.

    Attributes:
        zone: Index of the caller's zone.
        work_s: Time that it keeps a slot of a server busy.
        started_at: Start of the first attempt, in simulated time.
        ended_at: Time of the response, None while there is none.
    """

    zone: int
    work_s: float
    started_at: float
    ended_at: float | None = None
    attempts: int = 0

    def value(self) -> float:
        """Returns 1 for a response within the target, less for a late one, 0 after the deadline."""
        if self.ended_at is None or self.ended_at - self.started_at > DEADLINE_S:
            return 0.0
        return 1.0 if self.ended_at - self.started_at <= LATENCY_TARGET_S else LATE_ANSWER_VALUE


@dataclass(frozen=True, slots=True)
class ReplayResult:
    """Result of replaying a pattern.

    Attributes:
        value_ratio: Value of the responses over the greatest possible value.
        in_time_ratio: Share of the requests answered within the latency target.
        unserved_ratio: Share of the requests not answered before the deadline.
    """

    value_ratio: float
    in_time_ratio: float
    unserved_ratio: float


class CallerLoad:
    """Starts requests and retries them, as the platform's callers do.

    Attributes:
        requests: All requests started so far.
    """

    def __init__(self, world: SimulatedWorld, seed: int) -> None:
        """Prepares the load and registers for the ends of the world's flows.

        Args:
            world: World in which the requests run.
            seed: Seed of the load's random number generator.
        """
        self.requests: list[CallerRequest] = []
        self._world = world
        self._rng = Random(seed)
        world.on_flow_ended = self._handle_flow_end
        self._request_by_flow: dict[bytes, CallerRequest] = {}

    def schedule_load(self, start_after_s: float, duration_s: float, requests_per_s: float) -> None:
        """Schedules requests with exponentially distributed intervals."""
        start_s = start_after_s
        while start_s < start_after_s + duration_s:
            start_s += self._rng.expovariate(requests_per_s)
            self._world.schedule(start_s, self._start_request)

    def _start_request(self) -> None:
        work_s = self._rng.lognormvariate(0, WORK_LOG_STD_DEVIATION) * _MEDIAN_WORK_S
        if self._rng.random() < STRAGGLER_RATIO:
            work_s *= STRAGGLER_WORK_FACTOR
        zone = self._rng.randrange(ZONES)
        request = CallerRequest(zone, min(work_s, MAX_WORK_S), self._world.now)
        self.requests.append(request)
        self._send_attempt(request)

    def _send_attempt(self, request: CallerRequest) -> None:
        request.attempts += 1
        flow = self._world.start_flow(request.zone, request.work_s)
        self._request_by_flow[flow.key] = request

    def _handle_flow_end(self, flow: CallerFlow) -> None:
        request = self._request_by_flow.pop(flow.key, None)
        if request is None:
            return
        if flow.outcome == 'answered':
            request.ended_at = self._world.now
        elif request.attempts <= MAX_RETRIES and self._world.now - request.started_at < DEADLINE_S:
            self._send_attempt(request)


def _replay_outage(world: SimulatedWorld, load: CallerLoad) -> None:
    """Kills and restarts all instances at the usual load of about 0.6 of the slots."""
    load.schedule_load(0, 8, 256)
    world.run(1)
    _restart_all(world)
    world.run(9)


def _replay_outage_under_high_load(world: SimulatedWorld, load: CallerLoad) -> None:
    """Kills and restarts all instances at a load of about 0.85 of the slots."""
    load.schedule_load(0, 8, 360)
    world.run(1)
    _restart_all(world)
    world.run(9)


def _replay_overload(world: SimulatedWorld, load: CallerLoad) -> None:
    """Raises the load to about 1.4 times the slots for two seconds."""
    load.schedule_load(0, 8, 256)
    load.schedule_load(2, 2, 340)
    world.run(11)


def _replay_long_overload(world: SimulatedWorld, load: CallerLoad) -> None:
    """Raises the load to about 1.2 times the slots for six seconds."""
    load.schedule_load(0, 8, 256)
    load.schedule_load(1, 6, 250)
    world.run(11)


def _replay_silent_servers(world: SimulatedWorld, load: CallerLoad) -> None:
    """Makes three of seven servers silent for three seconds at about 0.6 of the slots."""
    load.schedule_load(0, 8, 256)
    world.run(1)
    silent_servers = list(world.server_by_id.values())[:3]
    for server in silent_servers:
        server.is_dead = True
    world.run(SERVER_OUTAGE_S)
    for server in silent_servers:
        server.is_dead = False
    world.run(7)


def _replay_slow_servers(world: SimulatedWorld, load: CallerLoad) -> None:
    """Makes two of seven servers four times as slow."""
    for server in list(world.server_by_id.values())[:2]:
        server.slowness = 4.0
    load.schedule_load(0, 8, 256)
    world.run(11)


def _restart_all(world: SimulatedWorld) -> None:
    for ip in list(world.steering_by_ip):
        world.kill_instance(ip)
    world.run(INSTANCE_OUTAGE_S)
    rng = Random(INSTANCES)
    for number in range(INSTANCES):
        delay_s = rng.uniform(0, RESTART_JITTER_S)
        world.schedule(delay_s, lambda index=number: world.start_instance(index))


PATTERN_BY_NAME: Mapping[str, Callable[[SimulatedWorld, CallerLoad], None]] = {
    'outage': _replay_outage,
    'outage_at_crest': _replay_outage_under_high_load,
    'crest': _replay_overload,
    'long_crest': _replay_long_overload,
    'lost_servers': _replay_silent_servers,
    'slow_servers': _replay_slow_servers,
}


def replay_pattern(pattern: str, seed: int) -> ReplayResult:
    """Replays one load pattern.

    Args:
        pattern: A name of ``PATTERN_BY_NAME``.
        seed: Seed of the load and of the instances.

    Returns:
        Value ratio and shares of the requests answered in time and not at all.
    """
    world = SimulatedWorld(INSTANCES, ZONES, seed)
    world.add_route()
    world.add_servers(SERVERS)
    world.run(WARMUP_S)
    load = CallerLoad(world, seed)
    PATTERN_BY_NAME[pattern](world, load)
    count = len(load.requests)
    values = [request.value() for request in load.requests]
    return ReplayResult(
        sum(values) / count,
        sum(value == 1 for value in values) / count,
        sum(value == 0 for value in values) / count,
    )
