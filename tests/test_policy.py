"""Tests of load-balancing policies, server health and retry budgets."""

from random import Random

from testtools import TestCase
from testtools.matchers import Equals, LessThan

from berylstair.flow import choose_server, flow_key
from berylstair.health import EJECTION_FAILURES, SLOW_START_S, ServiceHealth
from berylstair.ids import BackendId, Endpoint, InstanceId, ServiceName, ZoneId
from berylstair.policy import POLICY_FACTORY_BY_NAME, Candidate, PolicyView
from berylstair.record import (
    BackendServer,
    BackendState,
    Contract,
    ContractKind,
    RecordVersion,
    ServiceRecord,
)
from berylstair.retry import RetryBudget
from berylstair.view import Service


def make_server(number: int, state: BackendState = BackendState.ACTIVE) -> BackendServer:
    """Returns a backend server."""
    address = Endpoint('10.1.0.1', 7000 + number)
    return BackendServer(BackendId(f's{number}'), ZoneId('a'), address, 3, 2000, 1.0, state)


def make_service(*servers: BackendServer) -> Service:
    """Returns a flow service."""
    contract = Contract(ContractKind.FLOW, 30.0, 1000)
    return Service(
        ServiceRecord(RecordVersion(1, 2), ServiceName('maps'), (), contract, servers, 1.0),
    )


class PolicyTest(TestCase):
    """Policies that count slots never use more than there are."""

    def test_full_servers_leave_the_request_queued(self) -> None:
        full = [Candidate(make_server(number), 3, 3, 0, is_same_zone=True) for number in range(3)]
        for name, make_policy in POLICY_FACTORY_BY_NAME.items():
            with self.subTest(policy=name):
                chosen = make_policy().choose(full, Random(1))
                is_baseline = name in {'random', 'round_robin'}
                self.assertThat(chosen is not None, Equals(is_baseline))

    def test_least_loaded_counts_others(self) -> None:
        busy = Candidate(make_server(0), 3, 0, 2, is_same_zone=True)
        idle = Candidate(make_server(1), 3, 1, 0, is_same_zone=False)
        chosen = POLICY_FACTORY_BY_NAME['least_loaded']().choose([busy, idle], Random(1))
        self.assertThat(chosen, Equals(idle))

    def test_every_slot_is_lent_once(self) -> None:
        eligible = tuple(InstanceId(f'n{number}') for number in range(8))
        policy = POLICY_FACTORY_BY_NAME['lent_slots']()
        lent = sum(
            policy.slot_limit(make_server(1), 3, PolicyView(name, eligible)) for name in eligible
        )
        self.assertThat(lent, Equals(3))


class ChooseServerTest(TestCase):
    """New flows go to a server by rendezvous hash with bounded loads."""

    def test_flow_counts_stay_balanced(self) -> None:
        servers = [make_server(number) for number in range(5)]
        flows_by_backend: dict[BackendId, int] = {}
        for number in range(500):
            key = flow_key(ServiceName('maps'), Endpoint('10.9.0.1', 1024 + number))
            chosen = choose_server(key, make_service(*servers), flows_by_backend)
            flows_by_backend[chosen.id] = flows_by_backend.get(chosen.id, 0) + 1
        self.assertThat(max(flows_by_backend.values()) / 100, LessThan(1.15))

    def test_leaving_servers_are_not_chosen(self) -> None:
        servers = [make_server(0, BackendState.LEAVING), make_server(1)]
        for number in range(50):
            key = flow_key(ServiceName('maps'), Endpoint('10.9.0.1', 1024 + number))
            self.assertThat(choose_server(key, make_service(*servers), {}).id, Equals('s1'))
        key = flow_key(ServiceName('maps'), Endpoint('10.9.0.1', 1024))
        self.assertIs(None, choose_server(key, make_service(servers[0]), {}))


class ServiceHealthTest(TestCase):
    """Ejection is limited, new servers start slowly, retries have a budget."""

    def test_at_most_a_third_is_ejected(self) -> None:
        servers = [make_server(number) for number in range(7)]
        health = ServiceHealth()
        ejected_count = 0
        for backend_server in servers:
            for _ in range(EJECTION_FAILURES):
                ejected_count += health.record_failure(
                    backend_server.id, make_service(*servers), 0.0
                )
        self.assertThat(ejected_count, Equals(2))

    def test_new_server_starts_slowly(self) -> None:
        health = ServiceHealth()
        health.apply_service(make_service(make_server(0)), 0.0)
        health.apply_service(make_service(make_server(0), make_server(1)), 100.0)
        usable_slots = [
            health.usable_slots(BackendId('s1'), 3, 100.0 + after) for after in (0, 5, SLOW_START_S)
        ]
        self.assertThat(usable_slots, Equals([1, 1, 3]))
        self.assertThat(health.usable_slots(BackendId('s0'), 3, 100.0), Equals(3))

    def test_retry_budget_is_a_share_of_the_requests(self) -> None:
        budget = RetryBudget(0.1, 2)
        withdrawn_count = 0
        for _ in range(100):
            budget.deposit()
            withdrawn_count += budget.try_withdraw()
        self.assertThat(withdrawn_count, Equals(11))
