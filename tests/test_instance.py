"""Tests of the core's promises on a simulated network; Hypothesis generates faults."""

from unittest import mock

from aiocoap import ACK, CON, Message
from aiocoap.numbers.codes import Code
from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st
from testtools import TestCase
from testtools.matchers import Equals, GreaterThan, HasLength

from berylstair.action import SendToBackend
from berylstair.claim import HomeZoneWitnessPlacement, SpreadWitnessPlacement
from berylstair.event import BackendDatagram, CallerDatagram, TimerDue
from berylstair.ids import Endpoint
from berylstair.proxy import HeaderDecoder, ProxyHeader, Tlv, split_datagram
from tests.network import (
    DESK_ADDRESS,
    MAPS_ADDRESS,
    REQUEST_LIFETIME_S,
    ZONES,
    Network,
    caller_endpoint,
)

SETTLE_S = REQUEST_LIFETIME_S + 3
LAST_POST = 6
NODE_NAMES = [f'n{index}' for index in range(6)]
LINK_FAULTS = {'drop': 0.1, 'double': 0.15, 'delay_s': (0.0005, 0.08)}

_node = st.sampled_from(NODE_NAMES)
_step = st.one_of(
    st.tuples(st.just('copy'), st.integers(1, 8), _node),
    st.tuples(st.just('copy'), st.integers(1, 8), _node),
    st.tuples(st.just('load'), st.sampled_from([0.02, 3.0])),
    st.tuples(st.just('pass'), st.sampled_from([0.01, 0.1, 0.7, 2.0])),
    st.tuples(st.just('freeze'), _node, st.sampled_from([0.3, 1.5, 3.0])),
    st.tuples(st.just('kill'), _node),
    st.tuples(st.just('restart'), _node),
    st.tuples(st.just('stop'), _node),
    st.tuples(st.just('cut'), st.sampled_from(ZONES)),
    st.tuples(st.just('heal')),
    st.tuples(st.just('list'), st.lists(_node, max_size=3), st.lists(_node, unique=True)),
)
_PROPERTY_SETTINGS = settings(
    max_examples=60,
    derandomize=True,
    deadline=None,
    suppress_health_check=list(HealthCheck),
)


class _StepRunner:
    """Applies generated steps to a network."""

    def __init__(self, network: Network) -> None:
        self.network = network
        self.version = 1
        self._left_out: set[str] = set()

    def apply(self, step: tuple) -> None:
        getattr(self, f'do_{step[0]}')(*step[1:])

    def do_copy(self, identity: int, name: str) -> None:
        is_read = identity > LAST_POST
        self.network.send_request(identity, name, Code.GET if is_read else Code.POST)

    def do_load(self, delay_s: float) -> None:
        """Makes the servers slow, so that queues fill up."""
        for server in self.network.server_by_address.values():
            server.delay_s = delay_s

    def do_pass(self, seconds: float) -> None:
        self.network.run(seconds)

    def do_freeze(self, name: str, seconds: float) -> None:
        self.network.pause(name, seconds)

    def do_kill(self, name: str) -> None:
        self.network.kill(name)

    def do_restart(self, name: str) -> None:
        self.network.start(name)

    def do_stop(self, name: str) -> None:
        self.network.stop(name)

    def do_cut(self, zone: str) -> None:
        self.network.partition_zone(zone)

    def do_heal(self) -> None:
        self.network.heal()

    def do_list(self, leave_out: list[str], readers: list[str]) -> None:
        """Publishes an instance list to some instances.

        An instance must have stopped before a list leaves it out, so the
        instances to leave out are killed first.
        """
        for name in leave_out:
            self.network.kill(name)
        self.version += 1
        self.network.publish_instances(self.version, tuple(leave_out), readers)


class RequestPromisesTest(TestCase):
    """A request runs at most once, and one refused as not run never runs."""

    def dispatcher(self, network: Network) -> str:
        """Returns the name of the first instance that has finished requests."""
        return next(
            name
            for name, node in network.node_by_name.items()
            if node.instance.dispatcher.table.finished_by_id
        )

    def check_refusals(self, network: Network, identities: range) -> None:
        for identity in identities:
            if Code.SERVICE_UNAVAILABLE in network.response_codes(identity):
                self.assertThat(
                    network.run_count(identity),
                    Equals(0),
                    f'{identity} was refused as not run',
                )

    def check_at_most_once(self, network: Network, identities: range) -> None:
        self.check_refusals(network, identities)
        for identity in identities:
            runs = network.run_count(identity)
            self.assertLessEqual(runs, 1, f'request {identity} ran {runs} times')
            for answer in network.responses_by_token[identity.to_bytes(4, 'big')]:
                if answer.code.is_successful():
                    self.assertThat(answer.payload, Equals(answer.token))

    @_PROPERTY_SETTINGS
    @given(st.lists(_step, min_size=5, max_size=40), st.integers(0, 1000), st.booleans())
    def test_any_order_of_faults(self, steps: list, seed: int, is_spread: bool) -> None:
        placement = SpreadWitnessPlacement() if is_spread else HomeZoneWitnessPlacement()
        network = Network(seed, witness_placement=placement, max_queue=1)
        network.faults = dict(LINK_FAULTS)
        network.run(SETTLE_S)
        runner = _StepRunner(network)
        for step in steps:
            runner.apply(step)
        network.heal()
        network.run(SETTLE_S)
        self.check_at_most_once(network, range(1, LAST_POST + 1))
        self.check_refusals(network, range(1, 9))

    def test_copies_at_every_instance_run_once(self) -> None:
        for placement in (SpreadWitnessPlacement(), HomeZoneWitnessPlacement()):
            with self.subTest(placement=type(placement).__name__):
                network = Network(witness_placement=placement)
                network.run(SETTLE_S)
                for name in NODE_NAMES:
                    network.send_request(1, name)
                network.run(1)
                self.assertThat(network.run_count(1), Equals(1))
                self.assertThat(network.response_codes(1), Equals({Code.CREATED}))

    def test_restarted_witnesses_abstain(self) -> None:
        network = Network()
        network.run(SETTLE_S)
        network.send_request(1, 'n0')
        network.run(0.5)
        for name in NODE_NAMES:
            network.start(name)
        network.run(REQUEST_LIFETIME_S / 2)
        network.send_request(1, 'n1')
        network.run(1)
        self.assertThat(network.run_count(1), Equals(1))

    def test_restarted_claimant_does_not_inherit_its_grants(self) -> None:
        network = Network()
        network.run(SETTLE_S)
        network.send_request(1, 'n0')
        network.run(0.5)
        dispatcher = self.dispatcher(network)
        network.start(dispatcher)
        network.run(3)
        network.send_request(1, 'n1')
        network.run(3)
        self.assertThat(network.run_count(1), Equals(1))

    def test_a_cut_zone_cannot_run_what_the_rest_runs(self) -> None:
        network = Network()
        network.run(SETTLE_S)
        network.partition_zone(ZONES[0])
        network.run(3)
        for name in NODE_NAMES:
            network.send_request(1, name)
        network.run(3)
        self.assertThat(network.run_count(1), Equals(1))

    def test_stopped_instances_leave_every_id_claimable(self) -> None:
        network = Network()
        network.run(SETTLE_S)
        network.stop('n0')
        network.stop('n1')
        network.run(4)
        self.assertTrue(network.node_by_name['n0'].is_stopped)
        self.assertTrue(network.node_by_name['n1'].is_stopped)
        for identity in range(1, 41):
            network.send_request(identity, 'n3')
        network.run(3)
        for identity in range(1, 41):
            self.assertThat(network.response_codes(identity), Equals({Code.CREATED}))

    def test_a_returned_role_remembers_its_grants(self) -> None:
        network = Network()
        network.run(SETTLE_S)
        for identity in range(1, 21):
            network.send_request(identity, 'n0')
        network.run(0.3)
        dispatcher = self.dispatcher(network)
        others = [name for name in NODE_NAMES if name != dispatcher]
        for name in (dispatcher, *others[:2]):  # all within one request lifetime
            network.stop(name)
            network.run(1.3)
            network.start(name)
            network.run(0.7)
        for node in network.node_by_name.values():
            # Only the witnesses still know the requests.
            node.instance.dispatcher.table.finished_by_id.clear()
        for identity in range(1, 21):
            network.send_request(identity, others[3])
        network.run(2)
        self.check_at_most_once(network, range(1, 21))

    def test_a_role_returns_though_connections_are_replaced(self) -> None:
        for lost_s in (0.0, 0.1, 0.6):
            network = Network()
            network.run(SETTLE_S)
            network.stop('n0')
            network.run(2)
            network.start('n0')
            network.drop_inbound_messages('n0', lost_s)
            network.run(lost_s + 1.2)
            own = network.node_by_name['n0'].instance.witness_roles.own_witness
            self.assertThat(own.is_granting(network.now), Equals(True))

    def test_overload_is_refused_as_not_run(self) -> None:
        network = Network(max_queue=5)
        for server in network.server_by_address.values():
            server.delay_s = 0.5
        network.run(SETTLE_S)
        identities = range(1, 101)
        for identity in identities:
            network.send_request(identity, NODE_NAMES[identity % len(NODE_NAMES)])
        network.run(5)
        refused = [
            identity
            for identity in identities
            if Code.SERVICE_UNAVAILABLE in network.response_codes(identity)
        ]
        self.assertThat(len(refused), GreaterThan(0))
        self.check_at_most_once(network, identities)

    def test_shed_work_is_retried_elsewhere_and_runs_once(self) -> None:
        network = Network()
        for server in list(network.server_by_address.values())[:3]:
            server.shed_ratio = 1.0
        network.run(SETTLE_S)
        for identity in range(1, 21):
            network.send_request(identity, NODE_NAMES[identity % len(NODE_NAMES)])
            network.run(0.2)
        self.check_at_most_once(network, range(1, 21))
        answered = [code for number in range(1, 21) for code in network.response_codes(number)]
        self.assertIn(Code.CREATED, answered)

    def test_no_refusal_as_not_run_beside_a_run(self) -> None:
        """An instance of a partitioned zone does not refuse a request as not run.

        Its queue is full, but it cannot know whether the other zones run the
        request.
        """
        network = Network()
        for name in ('n2', 'n5'):
            network.start(name, max_queue=0)
        network.run(SETTLE_S)
        network.partition_zone(ZONES[2])
        network.run(3)
        for identity in range(1, 21):
            network.send_request(identity, 'n0', Code.GET)
            network.send_request(identity, 'n2', Code.GET)
        network.run(3)
        for identity in range(1, 21):
            self.assertThat(network.run_count(identity), GreaterThan(0))
            self.assertNotIn(Code.SERVICE_UNAVAILABLE, network.response_codes(identity))

    def test_a_full_instance_refuses_reads_as_not_run(self) -> None:
        network = Network()
        for name in NODE_NAMES:
            network.start(name, max_queue=0)
        network.run(SETTLE_S)
        for identity in range(1, 21):
            network.send_request(identity, NODE_NAMES[identity % len(NODE_NAMES)], Code.GET)
        network.run(1)
        for identity in range(1, 21):
            self.assertThat(network.response_codes(identity), Equals({Code.SERVICE_UNAVAILABLE}))
            self.assertThat(network.run_count(identity), Equals(0))

    def test_answers_that_match_no_attempt_are_dropped(self) -> None:
        network = Network(instances=1)
        network.run(SETTLE_S)
        token, caller_address = b'tokn', caller_endpoint(1)
        request = Message(code=Code.GET, _mtype=CON, _mid=1, _token=token, uri_path=('r',))
        arrived = CallerDatagram(DESK_ADDRESS, caller_address, request.encode())
        (sent,) = [
            action
            for action in network.handle_event('n0', arrived)
            if isinstance(action, SendToBackend)
        ]
        header = HeaderDecoder().decode(split_datagram(sent.datagram)[0])
        answer = Message(code=Code.CONTENT, _mtype=ACK, _mid=1, _token=token, payload=b'own')
        other = Message(code=Code.CONTENT, _mtype=ACK, _mid=1, _token=b'else', payload=b'x')
        good = (sent.target, header, answer.encode())
        forged = {
            'another server': (Endpoint('10.1.0.1', 7099), header, answer.encode()),
            'another caller': (
                sent.target,
                header._replace(caller=caller_endpoint(2)),
                answer.encode(),
            ),
            'another address': (
                sent.target,
                header._replace(address=MAPS_ADDRESS),
                answer.encode(),
            ),
            'another service': (sent.target, _replace_tlv(header, Tlv.SERVICE, b'maps'), good[2]),
            'another attempt': (
                sent.target,
                _replace_tlv(header, Tlv.ATTEMPT, b'12345678'),
                good[2],
            ),
            'another token': (sent.target, header, other.encode()),
            'a request': (sent.target, header, request.encode()),
        }
        for difference, parts in forged.items():
            with self.subTest(forged=difference):
                self.assertThat(network.handle_event('n0', BackendDatagram(*parts)), Equals([]))
        relayed = network.handle_event('n0', BackendDatagram(*good))
        self.assertThat(Message.decode(relayed[0].payload).payload, Equals(b'own'))
        self.assertThat(network.handle_event('n0', BackendDatagram(*good)), Equals([]))

    def test_a_successor_replays_what_a_stopped_instance_answered(self) -> None:
        network = Network()
        network.run(SETTLE_S)
        network.send_request(1, 'n0')
        network.run(0.3)
        dispatcher = self.dispatcher(network)
        network.stop(dispatcher)
        network.run(3)
        self.assertTrue(network.node_by_name[dispatcher].is_stopped)
        before = len(network.responses_by_token[(1).to_bytes(4, 'big')])
        network.send_request(1, 'n1' if dispatcher == 'n0' else 'n0')
        network.run(1)
        self.assertThat(len(network.responses_by_token[(1).to_bytes(4, 'big')]), Equals(before + 1))
        self.assertThat(network.response_codes(1), Equals({Code.CREATED}))


def _replace_tlv(header: ProxyHeader, tlv: Tlv, content: bytes) -> ProxyHeader:
    return header._replace(tlvs={**header.tlvs, tlv: content})


class FlowPromisesTest(TestCase):
    """Established flows stay with their backend server."""

    FLOW_COUNT = 40

    def start_network_with_flows(self, seed: int = 1) -> Network:
        network = Network(seed)
        network.run(SETTLE_S)
        for number in range(self.FLOW_COUNT):
            network.send_flow_packet(caller_endpoint(number), NODE_NAMES[number % len(NODE_NAMES)])
        network.run(1)
        return network

    def send_flow_packets(self, network: Network, rounds: int = 4) -> None:
        up = [name for name, node in network.node_by_name.items() if node.instance]
        for _ in range(rounds):
            for number in range(self.FLOW_COUNT):
                network.send_flow_packet(caller_endpoint(number), network.rng.choice(up))
            network.run(0.3)

    def find_broken_flows(self, network: Network) -> list[int]:
        flows = range(self.FLOW_COUNT)
        return [
            number
            for number in flows
            if len(network.servers_reached_by(caller_endpoint(number))) != 1
        ]

    def test_survives_planned_changes(self) -> None:
        changes = {
            'backend servers leave': lambda net: net.publish_maps(2, ('s0', 's1')),
            'an instance dies': lambda net: net.kill('n1'),
            'two instances die': lambda net: (net.kill('n1'), net.run(3), net.kill('n4')),
            'an instance stops': lambda net: net.stop('n2'),
            'two instances stop at once': lambda net: (net.stop('n2'), net.stop('n3')),
            'an instance is replaced': lambda net: net.start('n5'),
            'server leaves, instance dies': lambda net: (
                net.publish_maps(2, ('s2',)),
                net.kill('n0'),
            ),
            'record reaches a half only': lambda net: net.publish_maps(
                2,
                ('s3',),
                readers=['n0', 'n1', 'n2'],
            ),
        }
        for description, change in changes.items():
            with self.subTest(change=description):
                network = self.start_network_with_flows()
                change(network)
                self.send_flow_packets(network)
                network.run(3)
                self.send_flow_packets(network)
                self.assertThat(self.find_broken_flows(network), Equals([]))

    def test_packets_sprayed_at_once_reach_one_server(self) -> None:
        """Two instances that get the first packets of a flow bind it only once.

        Long after any change of instances no lookups are sent, so the flow's
        home alone has to bind it.
        """
        network = Network()
        network.run(SETTLE_S + 40)
        for number in range(200):
            for name in network.rng.sample(NODE_NAMES, 2):
                network.send_flow_packet(caller_endpoint(number), name)
            network.run(0.01)
        network.run(1)
        flows = range(200)
        split = [
            number
            for number in flows
            if len(network.servers_reached_by(caller_endpoint(number))) != 1
        ]
        self.assertThat(split, Equals([]))

    def test_a_rolling_replacement_of_all_instances(self) -> None:
        network = self.start_network_with_flows()
        for name in NODE_NAMES:
            network.stop(name)
            self.send_flow_packets(network, 1)
            network.run(4)
            network.start(name)
            network.run(3)
            self.send_flow_packets(network, 1)
        self.assertThat(self.find_broken_flows(network), Equals([]))

    def test_new_flows_avoid_a_leaving_server(self) -> None:
        network = self.start_network_with_flows()
        network.publish_maps(2, ('s0',))
        network.run(2)
        server = next(iter(network.server_by_address.values()))
        before = set(server.packet_counts_by_caller)
        for number in range(1000, 1200):
            network.send_flow_packet(caller_endpoint(number), NODE_NAMES[number % len(NODE_NAMES)])
        network.run(1)
        self.assertThat(set(server.packet_counts_by_caller) - before, Equals(set()))


class ViewPromisesTest(TestCase):
    """Records converge and never revert; a reused address is quarantined first."""

    def versions_in_force(self, network: Network, key: str) -> set[int]:
        up = (node.instance for node in network.node_by_name.values() if node.instance)
        return {
            stored.record.version.version
            for instance in up
            for stored_key, stored in instance.core.store.stored_by_key.items()
            if stored_key == key
        }

    def test_one_reader_is_enough(self) -> None:
        network = Network()
        network.run(3)
        network.publish_desk(2, readers=['n3'])
        network.run(1)
        self.assertThat(self.versions_in_force(network, 'service/desk'), Equals({2}))

    def test_a_stale_platform_reverts_nothing(self) -> None:
        network = Network()
        network.run(3)
        old = network.record_text_by_key['service/desk']
        network.publish_desk(2, readers=['n3'])
        network.run(1)
        for name in NODE_NAMES:
            network.deliver_record(name, old)
        network.start('n1', reads_records=False)
        network.deliver_record('n1', old)
        network.run(2)
        self.assertThat(self.versions_in_force(network, 'service/desk'), Equals({2}))

    def test_a_newcomer_starts_from_peers(self) -> None:
        network = Network()
        network.run(3)
        network.start('n2', reads_records=False)
        network.run(2)
        stored_by_key = network.node_by_name['n2'].instance.core.store.stored_by_key
        self.assertThat(stored_by_key, HasLength(3))

    def test_a_cut_zone_converges_after_healing(self) -> None:
        network = Network()
        network.run(3)
        network.partition_zone(ZONES[1])
        network.run(3)
        network.publish_desk(2, readers=['n0'])
        network.run(2)
        self.assertThat(self.versions_in_force(network, 'service/desk'), Equals({1, 2}))
        network.heal()
        network.run(2)
        self.assertThat(self.versions_in_force(network, 'service/desk'), Equals({2}))

    def test_a_failed_periodic_task_is_repeated(self) -> None:
        network = Network()
        network.run(3)
        instance = network.node_by_name['n0'].instance
        membership = instance.core.membership
        with mock.patch.object(membership, 'update_liveness', side_effect=ZeroDivisionError):
            self.assertRaises(ZeroDivisionError, instance.handle, TimerDue(), network.now + 0.6)
        with mock.patch.object(membership, 'update_liveness') as repeated:
            instance.handle(TimerDue(), network.now + 1.2)
            self.assertThat(repeated.called, Equals(True))

    def test_a_reused_address_rests(self) -> None:
        network = Network()
        network.run(SETTLE_S)
        network.publish_maps(2, addresses=[])
        moved = {
            'kind': 'service',
            'version': 1,
            'name': 'other',
            'addresses': ['10.0.0.2:4433'],
            'contract': {'kind': 'flow'},
            'backend_servers': [],
            'quarantine_s': 5.0,
        }
        network.publish('service/other', moved)
        network.run(1)
        network.send_flow_packet(caller_endpoint(1), 'n0')
        network.run(1)
        self.assertThat(network.servers_reached_by(caller_endpoint(1)), Equals(set()))
        refusals = network.node_by_name['n0'].instance.core.counters.refusals
        self.assertThat(sum(kind.value == 'quarantined' for kind in refusals), Equals(1))
