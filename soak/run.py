"""One soak run: load, overlapping disruptions, and checks during and after them."""

import asyncio
from dataclasses import dataclass
from random import Random

from soak.callers import Caller, CallerFlow
from soak.fleet import InstanceProcess
from soak.ledger import Finding, Promise, RequestOutcome
from soak.troubles import DISRUPTION_BY_NAME
from soak.world import SERVICES, Testbed

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
    """Performs the run of a seed."""
    rng = Random(f'troubles {seed}')
    async with Testbed(seed, size.instance_count, size.server_count) as testbed:
        load_tasks = [asyncio.create_task(_send_requests(testbed))]
        load_tasks.extend(
            asyncio.create_task(_run_long_flow(testbed)) for _ in range(LONG_FLOW_COUNT)
        )
        await asyncio.sleep(FAULT_FREE_START_S)
        disruptions = await _inject_disruptions(testbed, rng, size.fault_injection_s)
        testbed.links.clear_faults()
        await _wait_for_recovery(testbed)
        for task in load_tasks:
            task.cancel()
        await asyncio.gather(*load_tasks, return_exceptions=True)
        testbed.observations.check_request_runs(testbed.clock.now())
        logs = {}
        if testbed.observations.findings:
            logs = {
                instance.name: _read_log(testbed, instance) for instance in testbed.fleet.instances
            }
        outcome_counts = {
            outcome.value: count for outcome, count in testbed.observations.outcome_counts.items()
        }
        return RunResult(seed, testbed.observations.findings, outcome_counts, disruptions, logs)


async def _inject_disruptions(testbed: Testbed, rng: Random, for_s: float) -> list[str]:
    """Starts overlapping disruptions and waits until all have ended."""
    started: list[str] = []
    tasks: list[asyncio.Task[None]] = []
    until = testbed.clock.now() + for_s
    names = [
        rng.choice(DIRECTORY_CHANGES),
        *rng.sample(sorted(DISRUPTION_BY_NAME), rng.choice(DISRUPTION_COUNTS)),
    ]
    while testbed.clock.now() < until:
        name = rng.choice(names)
        length_s = rng.uniform(*_DISRUPTION_DURATION_RANGE_S)
        started.append(f'{testbed.clock.now():.2f} {name} {length_s:.2f}')
        tasks.append(asyncio.create_task(DISRUPTION_BY_NAME[name](testbed, length_s)))
        await asyncio.sleep(rng.uniform(*_DISRUPTION_GAP_RANGE_S))
    await asyncio.gather(*tasks)
    return started


async def _send_requests(testbed: Testbed) -> None:
    """Sends requests at random intervals, each on a new flow."""
    sent: set[asyncio.Task[RequestOutcome]] = set()
    rng = Random(testbed.rng.random())
    while True:
        await asyncio.sleep(rng.expovariate(MEAN_REQUESTS_PER_S))
        task = asyncio.create_task(testbed.send_request(work_ms=rng.choice((5, 20, 20, 60))))
        sent.add(task)
        task.add_done_callback(sent.discard)


async def _run_long_flow(testbed: Testbed) -> None:
    """Sends requests on a long-lived flow; opens another when it ends."""
    rng = Random(testbed.rng.random())
    while True:
        caller = rng.choice(testbed.callers)
        flow = caller.create_flow(testbed.service_address(rng.choice(SERVICES)))
        if await flow.open() is None:
            await _send_flow_requests(testbed, caller, flow, rng)
        await asyncio.sleep(rng.uniform(0, MAX_REQUEST_PAUSE_S))


async def _send_flow_requests(
    testbed: Testbed, caller: Caller, flow: CallerFlow, rng: Random
) -> None:
    while True:
        await asyncio.sleep(rng.uniform(0, MAX_REQUEST_PAUSE_S))
        outcome = await testbed.send_flow_request(caller, flow)
        if outcome is not RequestOutcome.ANSWERED:
            _check_ended_flow(testbed, flow, outcome)
            return


def _check_ended_flow(testbed: Testbed, flow: CallerFlow, outcome: RequestOutcome) -> None:
    """Reports a flow that ended though its server still holds it.

    A flow may end only with its server. It may become silent only while an
    instance is, or was recently, disrupted.
    """
    server_address = next(
        address for address in testbed.server_addresses if address.endpoint.ip == flow.server_ip
    )
    is_flow_held = server_address.server is not None and any(
        flow_key[3] == flow.caller_address.port for flow_key in server_address.server.flow_by_key
    )
    now = testbed.clock.now()
    is_settled = all(
        testbed.fleet.is_settled(instance, now) for instance in testbed.fleet.instances
    )
    if is_flow_held and (outcome is RequestOutcome.SERVER_RESET or is_settled):
        detail = f'caller={flow.caller_address} {outcome.value}, held by {flow.server_ip}'
        testbed.observations.add_finding(Promise.OPEN_FLOW, now, detail)


async def _wait_for_recovery(testbed: Testbed) -> None:
    """Waits until all requests are answered again; reports those that are not in time."""
    until = testbed.clock.now() + RECOVERY_LIMIT_S
    unanswered_count = RECOVERY_REQUESTS
    while unanswered_count and testbed.clock.now() < until:
        unanswered_count = await _count_unanswered(testbed)
    if unanswered_count:
        detail = f'{unanswered_count} of {RECOVERY_REQUESTS} requests are not answered'
        testbed.observations.add_finding(Promise.RECOVERY, testbed.clock.now(), detail)


async def _count_unanswered(testbed: Testbed) -> int:
    """Sends requests and returns how many stay unanswered after all tries."""
    outcomes = await asyncio.gather(
        *(_send_request_with_retries(testbed) for _ in range(RECOVERY_REQUESTS))
    )
    return sum(outcome is not RequestOutcome.ANSWERED for outcome in outcomes)


async def _send_request_with_retries(testbed: Testbed) -> RequestOutcome:
    outcome = RequestOutcome.NOT_OPENED
    for _ in range(MAX_RECOVERY_TRIES):
        await asyncio.sleep(testbed.rng.uniform(0, 1))
        outcome = await testbed.send_request()
        if outcome is RequestOutcome.ANSWERED:
            break
    return outcome


def _read_log(testbed: Testbed, instance: InstanceProcess) -> str:
    path = testbed.layout.folder / f'{instance.name}.log'
    return path.read_text(encoding='utf-8')
