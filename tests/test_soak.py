"""Tests of soak runs: short runs, and each seed that found a fault."""

import asyncio

from testtools import TestCase
from testtools.matchers import Equals, GreaterThan

from soak.environment import SERVICES, SoakEnvironment
from soak.observations import Finding, Promise, RunObservations
from soak.run import FAULT_INJECTION_S, RunSize, run_seed

SHORT_FAULT_INJECTION_S = 5.0
SMALL_INSTANCE_COUNT = 4
LARGE_INSTANCE_COUNT = 18
# Seed, number of instances, fault injection time in seconds, and the fault that it found.
SEEDED_RUNS = (
    (1, SMALL_INSTANCE_COUNT, SHORT_FAULT_INJECTION_S, 'no fault found'),
    (
        2,
        LARGE_INSTANCE_COUNT,
        SHORT_FAULT_INJECTION_S,
        'no fault found; a fleet large enough to probe its peers',
    ),
    (1009, 6, FAULT_INJECTION_S, 'SIGHUP during the imports ended the program with status -1'),
    (
        397248,
        6,
        FAULT_INJECTION_S,
        'the check reported a service without servers as a missing route',
    ),
    (
        5,
        6,
        FAULT_INJECTION_S,
        'SIGTERM before its handler was installed ended the program with status -15',
    ),
    (
        7,
        6,
        FAULT_INJECTION_S,
        'a version under a revision that was given out before a restore was not in force',
    ),
    (
        19,
        6,
        FAULT_INJECTION_S,
        'an instance whose time of day was ahead dropped all opening segments',
    ),
    (
        18,
        6,
        FAULT_INJECTION_S,
        'odd entries, refused instances and a slow zone: instances served on an old directory',
    ),
)
# Seeds whose callers hold idle flows, and the fault that they found.
IDLE_FLOW_SEEDS = (
    (20, 'servers that were offered a flow in vain reset it after a pause of its caller'),
    (28, 'the same, with fewer flows'),
)

# Callers reach the zone for seconds after the limit where evacuations have no effect.
EVACUATION_SEED = 29


async def check_new_route(is_published: bool, has_servers: bool) -> list[Finding]:
    """Checks a route at settled instances and returns the findings."""
    async with SoakEnvironment(7, SMALL_INSTANCE_COUNT, SMALL_INSTANCE_COUNT) as environment:
        route = environment.add_route(SERVICES[0])
        if not is_published:
            # The environment expects the route to be in force, but the store does not have it.
            environment.remove_route(route)
            route.removed_at = None
        if not has_servers:
            for number, address in enumerate(environment.server_addresses):
                address.server.leaving_since = environment.clock.now()
                environment.register_server(number)
        while not all(
            environment.is_route_change_due(instance, route)
            for instance in environment.fleet.instances
        ):
            await asyncio.sleep(0.1)
        await environment.check_route(route)
        return environment.observations.findings


class SoakTest(TestCase):
    """Real processes keep the promises under overlapping faults."""

    def test_seeds(self) -> None:
        for seed, instance_count, fault_injection_s, _fault in SEEDED_RUNS:
            result = asyncio.run(run_seed(seed, RunSize(instance_count, fault_injection_s)))
            self.assertThat([str(finding) for finding in result.findings], Equals([]))
            self.assertThat(result.outcome_counts['answered'], GreaterThan(100))

    def test_idle_flows_outlive_restarts_joins_and_short_pauses(self) -> None:
        for seed, _fault in IDLE_FLOW_SEEDS:
            result = asyncio.run(run_seed(seed, RunSize()))
            self.assertThat([str(finding) for finding in result.findings], Equals([]))
            self.assertThat(result.outcome_counts['answered'], GreaterThan(100))

    def test_evacuated_zones_get_no_opening_segment(self) -> None:
        result = asyncio.run(run_seed(EVACUATION_SEED, RunSize()))
        self.assertThat([str(finding) for finding in result.findings], Equals([]))
        self.assertThat(result.outcome_counts['answered'], GreaterThan(100))

    def test_missing_route_is_distinguished_from_service_without_servers(self) -> None:
        for is_published, has_servers, expected_promises in (
            (True, True, set()),
            (True, False, set()),
            (False, True, {Promise.CONFIGURATION}),
        ):
            findings = asyncio.run(check_new_route(is_published, has_servers))
            self.assertThat({finding.promise for finding in findings}, Equals(expected_promises))

    def test_request_runs_are_checked(self) -> None:
        for runs, is_refused, expected_promises in (
            (0, True, []),
            (1, False, []),
            (1, True, [Promise.NOT_RUN]),
            (2, False, [Promise.ONCE]),
        ):
            observations = RunObservations()
            observations.runs_by_request[1] = runs
            if is_refused:
                observations.refused_requests.add(1)
            observations.check_request_runs(0)
            self.assertThat(
                [finding.promise for finding in observations.findings], Equals(expected_promises)
            )
