"""Tests of witnesses, claims and replaced lists of instances."""

from aiocoap.numbers.codes import Code
from testtools import TestCase
from testtools.matchers import Equals

from berylstair.claim import (
    Claim,
    ClaimantId,
    ClaimPurpose,
    ClaimState,
    HomeZoneWitnessPlacement,
    InstanceLists,
    SpreadWitnessPlacement,
    Witness,
    WitnessAnswer,
)
from berylstair.ids import Endpoint, InstanceId, RequestId, ZoneId
from berylstair.message import ClaimMode, Verdict
from berylstair.record import Instance, InstancesRecord, RecordVersion
from tests.network import Network

LIFETIME_S = 10.0
REQUEST = RequestId(b'request')
ONE = ClaimantId(InstanceId('one'), 1)
ONE_RESTARTED = ClaimantId(InstanceId('one'), 2)
TWO = ClaimantId(InstanceId('two'), 1)
SHARED, EXCLUSIVE = ClaimMode.SHARED, ClaimMode.EXCLUSIVE
GRANTED, DENIED, ABSTAINED = Verdict.GRANTED, Verdict.DENIED, Verdict.ABSTAINED


def instances_record(count: int, version: int = 1, first: int = 0) -> InstancesRecord:
    """Returns an instances record with instances spread over three zones."""
    endpoint = Endpoint('10.0.0.1', 1)
    rows = tuple(
        Instance(InstanceId(f'n{number}'), ZoneId('abc'[number % 3]), endpoint, endpoint, endpoint)
        for number in range(first, first + count)
    )
    return InstancesRecord(RecordVersion(version, 2), rows)


class WitnessTest(TestCase):
    """Verdicts of a witness after earlier grants, in its abstention and after a handover."""

    def test_second_claims(self) -> None:
        table = (
            (ONE, EXCLUSIVE, ONE, EXCLUSIVE, GRANTED),
            (ONE, EXCLUSIVE, TWO, EXCLUSIVE, DENIED),
            (ONE, EXCLUSIVE, ONE_RESTARTED, EXCLUSIVE, DENIED),
            (ONE, EXCLUSIVE, TWO, SHARED, DENIED),
            (ONE, SHARED, TWO, SHARED, GRANTED),
            (ONE, SHARED, TWO, EXCLUSIVE, DENIED),
            (ONE, SHARED, ONE, EXCLUSIVE, GRANTED),
        )
        for first, first_mode, second, second_mode, verdict in table:
            with self.subTest(first=(first, first_mode), second=(second, second_mode)):
                witness = Witness(0.0, LIFETIME_S, 10)
                witness.record_majority_heard()
                witness.decide(REQUEST, first_mode, first, 20.0)
                answer = witness.decide(REQUEST, second_mode, second, 29.0)
                self.assertThat(answer.verdict, Equals(verdict))

    def test_abstentions(self) -> None:
        table = (
            ('before one lifetime has passed', True, 9.9, 10),
            ('before a majority of the instances was heard', False, 20.0, 10),
            ('with no room for another grant', True, 20.0, 0),
        )
        for why, has_heard_majority, now, max_grants in table:
            with self.subTest(why=why):
                witness = Witness(0.0, LIFETIME_S, max_grants)
                if has_heard_majority:
                    witness.record_majority_heard()
                answer = witness.decide(REQUEST, EXCLUSIVE, ONE, now)
                self.assertThat(answer.verdict, Equals(ABSTAINED))

    def test_handover_keeps_grants(self) -> None:
        witness = Witness(0.0, LIFETIME_S, 10)
        witness.record_majority_heard()
        witness.decide(REQUEST, EXCLUSIVE, ONE, 20.0)
        deputy = Witness(21.0, LIFETIME_S, 10)
        deputy.import_grants(
            witness.export_grants(21.0), witness.remaining_abstention_s(21.0), 21.0
        )
        deputy.record_majority_heard()
        self.assertThat(deputy.decide(REQUEST, EXCLUSIVE, TWO, 29.0).verdict, Equals(DENIED))
        self.assertThat(deputy.decide(REQUEST, EXCLUSIVE, TWO, 30.1).verdict, Equals(GRANTED))


class ClaimTest(TestCase):
    """State of a claim by purpose and verdicts."""

    def test_state_after_verdicts(self) -> None:
        pending, held, lost = ClaimState.PENDING, ClaimState.HELD, ClaimState.LOST
        table = (
            (ClaimPurpose.RUN_ONCE, [GRANTED], pending),
            (ClaimPurpose.RUN_ONCE, [GRANTED, GRANTED], held),
            (ClaimPurpose.RUN_ONCE, [GRANTED, DENIED], pending),
            (ClaimPurpose.RUN_ONCE, [DENIED, DENIED], lost),
            (ClaimPurpose.RUN_ONCE, [GRANTED, ABSTAINED, ABSTAINED], pending),
            (ClaimPurpose.RUN_IDEMPOTENT, [GRANTED], held),
            (ClaimPurpose.RUN_IDEMPOTENT, [DENIED, DENIED], pending),
            (ClaimPurpose.RUN_IDEMPOTENT, [DENIED, DENIED, DENIED], lost),
            (ClaimPurpose.REFUSE_IDEMPOTENT, [GRANTED, GRANTED], pending),
            (ClaimPurpose.REFUSE_IDEMPOTENT, [GRANTED, GRANTED, GRANTED], held),
            (ClaimPurpose.REFUSE_IDEMPOTENT, [DENIED], lost),
        )
        names = [InstanceId(name) for name in ('a', 'b', 'c')]
        for purpose, verdicts, state in table:
            with self.subTest(purpose=purpose, verdicts=verdicts):
                claim = Claim(REQUEST, purpose, 1, (names,))
                for name, verdict in zip(names, verdicts, strict=False):
                    claim.record_verdict(name, WitnessAnswer(verdict, 'x'))
                self.assertThat(claim.state, Equals(state))

    def test_a_quorum_is_needed_in_each_list(self) -> None:
        old = [InstanceId(name) for name in ('a', 'b', 'c')]
        new = [InstanceId(name) for name in ('c', 'd', 'e')]
        claim = Claim(REQUEST, ClaimPurpose.RUN_ONCE, 2, (new, old))
        for name in ('c', 'd'):
            claim.record_verdict(InstanceId(name), WitnessAnswer(GRANTED))
        self.assertThat(claim.state, Equals(ClaimState.PENDING))
        claim.record_verdict(InstanceId('a'), WitnessAnswer(GRANTED))
        self.assertThat(claim.state, Equals(ClaimState.HELD))


class InstanceListsTest(TestCase):
    """How long claims need a quorum in a replaced list."""

    def test_replaced_list_counts_until_enough_witnesses_departed(self) -> None:
        placement = SpreadWitnessPlacement()
        before = placement.choose_witnesses(REQUEST, instances_record(6).instances)
        table = (
            ('no witness departed', 0, 0.0, ClaimPurpose.RUN_ONCE, 2),
            ('two departed a lifetime ago', 2, 100.0, ClaimPurpose.RUN_ONCE, 1),
            ('two departed just now', 2, 109.0, ClaimPurpose.RUN_ONCE, 2),
            ('one departed a lifetime ago', 1, 100.0, ClaimPurpose.RUN_ONCE, 2),
            ('one departed a lifetime ago', 1, 100.0, ClaimPurpose.RUN_IDEMPOTENT, 1),
            ('two departed a lifetime ago', 2, 100.0, ClaimPurpose.REFUSE_IDEMPOTENT, 2),
            ('all departed a lifetime ago', 3, 100.0, ClaimPurpose.REFUSE_IDEMPOTENT, 1),
        )
        for case, departed_count, departed_at, purpose, set_count in table:
            with self.subTest(case=case, purpose=purpose):
                lists = InstanceLists(placement, LIFETIME_S)
                lists.apply_record(instances_record(6), 'one', InstanceId('x'), 90.0)
                lists.apply_record(instances_record(8, 2), 'two', InstanceId('x'), 95.0)
                for name in before[:departed_count]:
                    lists.record_list_version(name, 2, departed_at)
                witness_sets = lists.witness_sets(REQUEST, purpose, 111.0)
                self.assertThat(len(witness_sets), Equals(set_count))

    def test_restarted_instance_has_not_departed(self) -> None:
        lists = InstanceLists(SpreadWitnessPlacement(), LIFETIME_S)
        lists.apply_record(instances_record(3), 'one', InstanceId('n0'), 0.0)
        lists.apply_record(instances_record(3, 2), 'two', InstanceId('n0'), 1.0)
        for name in ('n1', 'n2'):
            lists.record_list_version(InstanceId(name), 2, 1.0)
        lists.clear_list_version(InstanceId('n2'))
        lists.prune_replaced_lists(20.0)
        self.assertThat(lists.quorum_versions, Equals((2, 1)))

    def test_claims_over_fewer_lists_are_not_covered(self) -> None:
        lists = InstanceLists(SpreadWitnessPlacement(), LIFETIME_S)
        lists.apply_record(instances_record(3), 'one', InstanceId('n0'), 0.0)
        lists.apply_record(instances_record(3, 2), 'two', InstanceId('n0'), 1.0)
        lists.apply_record(instances_record(3, 3), 'three', InstanceId('n0'), 2.0)
        self.assertFalse(lists.covers((3, 1)))
        self.assertTrue(lists.covers((3, 2, 1)))


class WitnessPlacementTest(TestCase):
    """Zones of the three witnesses of a request."""

    def test_zones_of_witnesses(self) -> None:
        listed = instances_record(8).instances
        zone_by_id = {instance.id: instance.zone for instance in listed}
        for number in range(50):
            request = RequestId(f'request {number}'.encode())
            spread = SpreadWitnessPlacement().choose_witnesses(request, listed)
            self.assertThat({zone_by_id[name] for name in spread}, Equals({'a', 'b', 'c'}))
            witnesses = HomeZoneWitnessPlacement().choose_witnesses(request, listed)
            zones = [zone_by_id[name] for name in witnesses]
            self.assertThat(zones.count(zones[0]) >= 2, Equals(True))
            self.assertThat(len(set(witnesses)), Equals(3))


class WitnessPlacementInPartitionTest(TestCase):
    """Writes that each placement serves during a partition; docs/DESIGN.md quotes the counts."""

    REQUESTS = 120

    def count_served(self, network: Network, name: str, first: int) -> int:
        """Sends POST requests to one instance; returns how many were answered as run."""
        identities = range(first, first + self.REQUESTS)
        for identity in identities:
            network.send_request(identity, name)
            network.run(0.02)
        network.run(3)
        return sum(Code.CREATED in network.response_codes(identity) for identity in identities)

    def test_writes_served_in_each_partition(self) -> None:
        table = (
            ('spread', SpreadWitnessPlacement(), (120, 0)),
            ('home_zone', HomeZoneWitnessPlacement(), (81, 35)),
        )
        for placement_name, placement, expected in table:
            with self.subTest(placement=placement_name):
                network = Network(instances=8, witness_placement=placement)
                network.run(11)
                network.partition_zone('c-side')
                network.run(3)
                served_counts = (
                    self.count_served(network, 'n0', 1),
                    self.count_served(network, 'n2', 1001),
                )
                self.assertThat(served_counts, Equals(expected))
