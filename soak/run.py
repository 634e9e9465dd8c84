"""One soak run: load, overlapping disruptions, and checks during and after them."""

import asyncio
from dataclasses import dataclass
from random import Random

from soak.callers import Caller, CallerFlow
from soak.disruptions import (
    DISRUPTION_BY_NAME,
    EVACUATION,
    IDLE_FLOW_KINDS,
    OLD_DIRECTORY_KINDS,
    STORE_RESTORE,
)
from soak.environment import SERVICES, SoakEnvironment
from soak.fleet import InstanceProcess
from soak.observations import Finding, Promise, RequestOutcome

__all__ = ['DEFAULT_INSTANCE_COUNT', 'FAULT_INJECTION_S', 'RunResult', 'RunSize', 'run_seed']

MEAN_REQUESTS_PER_S = 40
LONG_FLOW_COUNT = 6
DEFAULT_INSTANCE_COUNT = 6
SERVERS_PER_INSTANCE = 1.5
FAULT_INJECTION_S = 12.0
MAX_REQUEST_PAUSE_S = 1.0
FAULT_FREE_START_S = 1.0
# Time that the rules allow for recovery after the last fault.
RECOVERY_LIMIT_S = 12.0
RECOVERY_REQUESTS = 40
MAX_RECOVERY_TRIES = 2
# Numbers of disruption kinds in a run, besides one change of servers or routes. With
# many kinds, hardly any instance settles, and time limits apply only to settled ones.
DISRUPTION_COUNTS = (1, 2, 3, 5)
# Kinds that only some seeds have, by the seed's remainder: the store is restored from a copy
# with the seeds 3, 7, 11 and so on, the directory may grow old with 2, 6, 10 and so on, and
# callers hold idle flows with 4, 12, 20 and so on.
# Among the sampled kinds they would change the disruptions of the regression seeds.
SEED_REMAINDERS = 8
IDLE_FLOW_REMAINDER = 4
KINDS_BY_SEED_REMAINDER = {
    2: OLD_DIRECTORY_KINDS,
    3: (STORE_RESTORE,),
    IDLE_FLOW_REMAINDER: IDLE_FLOW_KINDS,
    6: OLD_DIRECTORY_KINDS,
    7: (STORE_RESTORE,),
}
# Zones are evacuated with the seeds 13, 29, 45 and so on, which have no other special kinds.
EVACUATION_SEEDS = (16, 13)
IDLE_FLOW_COUNT = 200
# Longer than an instance remembers a flow that has a tag, shorter than the idle timeout.
_IDLE_PAUSE_RANGE_S = (3.5, 8.0)
SAMPLED_DISRUPTIONS = tuple(
    sorted(
        set(DISRUPTION_BY_NAME)
        - {
            STORE_RESTORE,
            EVACUATION,
            *OLD_DIRECTORY_KINDS,
            'lose_answers',
            'pause_briefly',
            'rejoin',
        }
    )
)
DIRECTORY_CHANGES = ('change_routes', 'release', 'reuse_addresses')
_DISRUPTION_GAP_RANGE_S = (0.2, 2.5)
_DISRUPTION_DURATION_RANGE_S = (0.5, 5.0)


@dataclass(frozen=True, slots=True)
class RunSize:
    """Size and duration of a run.

    Attributes:
        fault_injection_s: Time during which new faults start, in seconds.
    """

    instance_count: int = DEFAULT_INSTANCE_COUNT
    fault_injection_s: float = FAULT_INJECTION_S

    @property
    def server_count(self) -> int:
        """Number of backend servers."""
        return round(self.instance_count * SERVERS_PER_INSTANCE)


@dataclass(frozen=True, slots=True)
class RunResult:
    """Result of a run.

    Attributes:
        disruptions: Start time, name and duration of each disruption, in order.
        logs: Log of each instance by name; empty if there are no findings.
    """

    seed: int
    findings: list[Finding]
    outcome_counts: dict[str, int]
    disruptions: list[str]
    logs: dict[str, str]


async def run_seed(seed: int, size: RunSize) -> RunResult:
    """Runs the soak test with one seed."""
    rng = Random(f'troubles {seed}')
    async with SoakEnvironment(seed, size.instance_count, size.server_count) as environment:
        load_tasks = [asyncio.create_task(_send_requests(environment))]
        load_tasks.extend(
            asyncio.create_task(_run_long_flow(environment)) for _ in range(LONG_FLOW_COUNT)
        )
        if seed % SEED_REMAINDERS == IDLE_FLOW_REMAINDER:
            load_tasks.extend(
                asyncio.create_task(_run_idle_flows(environment)) for _ in range(IDLE_FLOW_COUNT)
            )
        await asyncio.sleep(FAULT_FREE_START_S)
        names = _choose_disruptions(seed, rng)
        disruptions = await _inject_disruptions(environment, rng, names, size.fault_injection_s)
        environment.links.clear_faults()
        await _wait_for_recovery(environment)
        for task in load_tasks:
            task.cancel()
        await asyncio.gather(*load_tasks, return_exceptions=True)
        environment.observations.check_request_runs(environment.clock.now())
        logs = {}
        if environment.observations.findings:
            logs = {
                instance.name: _read_log(environment, instance)
                for instance in environment.fleet.instances
            }
        outcome_counts = {
            outcome.value: count
            for outcome, count in environment.observations.outcome_counts.items()
        }
        return RunResult(seed, environment.observations.findings, outcome_counts, disruptions, logs)


def _choose_disruptions(seed: int, rng: Random) -> list[str]:
    """Returns the names of the kinds of disruption of a run."""
    names = [
        rng.choice(DIRECTORY_CHANGES),
        *rng.sample(SAMPLED_DISRUPTIONS, rng.choice(DISRUPTION_COUNTS)),
    ]
    remainder = seed % SEED_REMAINDERS
    if remainder == IDLE_FLOW_REMAINDER:
        # With many other kinds, few flows are open when the rotation changes.
        names = names[:2]
    period, evacuation_remainder = EVACUATION_SEEDS
    if seed % period == evacuation_remainder:
        names.append(EVACUATION)
    return [*names, *KINDS_BY_SEED_REMAINDER.get(remainder, ())]


async def _inject_disruptions(
    environment: SoakEnvironment, rng: Random, names: list[str], for_s: float
) -> list[str]:
    """Starts overlapping disruptions and waits until all have ended."""
    started: list[str] = []
    tasks: list[asyncio.Task[None]] = []
    until = environment.clock.now() + for_s
    while environment.clock.now() < until:
        name = rng.choice(names)
        duration_s = rng.uniform(*_DISRUPTION_DURATION_RANGE_S)
        started.append(f'{environment.clock.now():.2f} {name} {duration_s:.2f}')
        tasks.append(asyncio.create_task(DISRUPTION_BY_NAME[name](environment, duration_s)))
        await asyncio.sleep(rng.uniform(*_DISRUPTION_GAP_RANGE_S))
    await asyncio.gather(*tasks)
    return started


async def _send_requests(environment: SoakEnvironment) -> None:
    """Sends requests at random intervals, each on a new flow."""
    tasks: set[asyncio.Task[RequestOutcome]] = set()
    rng = Random(environment.rng.random())
    while True:
        await asyncio.sleep(rng.expovariate(MEAN_REQUESTS_PER_S))
        task = asyncio.create_task(environment.send_request(work_ms=rng.choice((5, 20, 20, 60))))
        tasks.add(task)
        task.add_done_callback(tasks.discard)


async def _run_idle_flows(environment: SoakEnvironment) -> None:
    """Sends two requests on each flow, with a pause between them, one flow after the other."""
    rng = Random(environment.rng.random())
    while True:
        caller = rng.choice(environment.callers)
        flow = caller.create_flow(environment.service_address(rng.choice(SERVICES)))
        if await flow.open() is None:
            outcome = await environment.send_flow_request(caller, flow)
            if outcome is RequestOutcome.ANSWERED:
                await asyncio.sleep(rng.uniform(*_IDLE_PAUSE_RANGE_S))
                outcome = await environment.send_flow_request(caller, flow)
            if outcome is RequestOutcome.ANSWERED:
                flow.close()
            else:
                _check_ended_flow(environment, flow, outcome)


async def _run_long_flow(environment: SoakEnvironment) -> None:
    """Sends requests on a long-lived flow; opens another when it ends."""
    rng = Random(environment.rng.random())
    while True:
        caller = rng.choice(environment.callers)
        flow = caller.create_flow(environment.service_address(rng.choice(SERVICES)))
        if await flow.open() is None:
            await _send_flow_requests(environment, caller, flow, rng)
        await asyncio.sleep(rng.uniform(0, MAX_REQUEST_PAUSE_S))


async def _send_flow_requests(
    environment: SoakEnvironment, caller: Caller, flow: CallerFlow, rng: Random
) -> None:
    while True:
        await asyncio.sleep(rng.uniform(0, MAX_REQUEST_PAUSE_S))
        outcome = await environment.send_flow_request(caller, flow)
        if outcome is not RequestOutcome.ANSWERED:
            _check_ended_flow(environment, flow, outcome)
            return


def _check_ended_flow(
    environment: SoakEnvironment, flow: CallerFlow, outcome: RequestOutcome
) -> None:
    """Reports a flow that ended though its server still holds it.

    A flow may end only with its server. It may become silent only while an
    instance is, or was recently, disrupted.
    """
    is_flow_held = environment.is_flow_held(flow)
    now = environment.clock.now()
    is_settled = all(
        environment.fleet.is_settled(instance, now) for instance in environment.fleet.instances
    )
    if is_flow_held and (outcome is RequestOutcome.SERVER_RESET or is_settled):
        detail = f'caller={flow.caller_address} {outcome.value}, held by {flow.server_ip}'
        environment.observations.add_finding(Promise.OPEN_FLOW, now, detail)


async def _wait_for_recovery(environment: SoakEnvironment) -> None:
    """Waits until all requests are answered again; reports those that are not in time."""
    until = environment.clock.now() + RECOVERY_LIMIT_S
    unanswered_count = RECOVERY_REQUESTS
    while unanswered_count and environment.clock.now() < until:
        unanswered_count = await _count_unanswered(environment)
    if unanswered_count:
        detail = f'{unanswered_count} of {RECOVERY_REQUESTS} requests are not answered'
        environment.observations.add_finding(Promise.RECOVERY, environment.clock.now(), detail)


async def _count_unanswered(environment: SoakEnvironment) -> int:
    """Sends requests and returns how many stay unanswered after all tries."""
    outcomes = await asyncio.gather(
        *(_send_request_with_retries(environment) for _ in range(RECOVERY_REQUESTS))
    )
    return sum(outcome is not RequestOutcome.ANSWERED for outcome in outcomes)


async def _send_request_with_retries(environment: SoakEnvironment) -> RequestOutcome:
    outcome = RequestOutcome.NOT_OPENED
    for _ in range(MAX_RECOVERY_TRIES):
        await asyncio.sleep(environment.rng.uniform(0, 1))
        outcome = await environment.send_request()
        if outcome is RequestOutcome.ANSWERED:
            break
    return outcome


def _read_log(environment: SoakEnvironment, instance: InstanceProcess) -> str:
    path = environment.layout.folder / f'{instance.name}.log'
    return path.read_text(encoding='utf-8')
