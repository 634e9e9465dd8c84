"""Tests of the lease table, which counts the work in progress."""

from testtools import TestCase
from testtools.matchers import Equals, GreaterThan, LessThan

from berylstair.ids import BackendId, FlowKey, InstanceId
from berylstair.lease_table import Lease, LeaseTable, Outcome

SERVER = BackendId('i-1')
HOLDER = InstanceId('entry-1')


def lease(name: str, started_at: float = 0.0, holder: InstanceId = HOLDER) -> Lease:
    """Returns a lease on ``SERVER``."""
    return Lease(FlowKey(name.encode()), SERVER, 'status', holder, started_at)


class LeaseTableTest(TestCase):
    """Leases end even if a release or a report is lost."""

    def test_an_unreleased_lease_expires(self) -> None:
        table = LeaseTable()
        table.add(lease('a'), 0)
        table.prune_expired(2)
        self.assertThat(table.lease_count(SERVER), Equals(0))

    def test_an_expired_lease_is_not_counted_again_from_a_report(self) -> None:
        table = LeaseTable()
        table.apply_report(HOLDER, [lease('a', started_at=0)], 2)
        self.assertThat(table.lease_count(SERVER), Equals(0))

    def test_a_report_does_not_restore_a_released_lease(self) -> None:
        table = LeaseTable()
        table.add(lease('a'), 0)
        table.release(FlowKey(b'a'), Outcome.ENDED, 0.1)
        released_flows = table.apply_report(HOLDER, [lease('a')], 0.2)
        self.assertThat((table.lease_count(SERVER), released_flows), Equals((0, [FlowKey(b'a')])))

    def test_a_report_replaces_the_leases_of_its_sender_only(self) -> None:
        table = LeaseTable()
        table.add(lease('a'), 0)
        table.add(lease('b', holder=InstanceId('entry-2')), 0)
        table.apply_report(HOLDER, [], 0.4)
        self.assertThat(list(table.lease_by_flow), Equals([FlowKey(b'b')]))

    def test_a_recent_lease_survives_a_report_without_it(self) -> None:
        table = LeaseTable()
        table.add(lease('a', started_at=1.0), 1.0)
        table.apply_report(HOLDER, [], 1.1)
        self.assertThat(table.lease_count(SERVER), Equals(1))

    def test_queueing_time_is_not_counted_as_work(self) -> None:
        table = LeaseTable()
        for number in range(40):
            queued = lease(str(number))
            queued.is_queued = True
            table.add(queued, 0)
            table.release(queued.flow, Outcome.DONE, 0.4)
        self.assertThat(table.mean_work_s(), LessThan(0.1))

    def test_a_restarted_server_has_no_leases(self) -> None:
        table = LeaseTable()
        table.add(lease('a'), 0)
        table.reset_server(SERVER)
        self.assertThat((table.lease_count(SERVER), len(table.lease_by_flow)), Equals((0, 0)))


class AvoidanceTest(TestCase):
    """When a server is avoided."""

    def test_avoidance_after_unanswered_offers(self) -> None:
        # Unanswered offers, time of the last answer to any flow, avoided or not.
        cases = ((1, None, False), (2, None, True), (2, 0.5, False), (5, None, True))
        for unanswered_offers, answered_at, is_avoided in cases:
            table = LeaseTable()
            for number in range(unanswered_offers):
                table.add(lease(str(number)), 0)
            if answered_at is not None:
                table.record_answer(SERVER, answered_at)
            for number in range(unanswered_offers):
                table.release(FlowKey(str(number).encode()), Outcome.SILENT, 0.6)
            self.assertThat(table.server_state(SERVER).is_avoided(0.61), Equals(is_avoided))

    def test_a_server_that_fails_at_once_is_avoided(self) -> None:
        table = LeaseTable()
        other = BackendId('i-2')
        for number in range(40):
            for backend, work_s in ((SERVER, 0.008), (other, 0.06)):
                flow = FlowKey(f'{backend}-{number}'.encode())
                started_at = number / 20
                table.add(Lease(flow, backend, 'status', HOLDER, started_at), started_at)
                table.release(flow, Outcome.DONE, started_at + work_s)
        self.assertThat(table.server_state(SERVER).is_avoided(2.1), Equals(True))
        self.assertThat(table.server_state(other).is_avoided(2.1), Equals(False))
        self.assertThat(table.server_state(SERVER).is_avoided(20), Equals(False))

    def test_one_flow_a_period_tries_an_avoided_server(self) -> None:
        table = LeaseTable()
        for name in ('a', 'b'):
            table.add(lease(name), 0)
            table.release(FlowKey(name.encode()), Outcome.SILENT, 0.1)
        self.assertThat(table.server_state(SERVER).is_avoided(0.2), Equals(True))
        self.assertThat(table.server_state(SERVER).is_avoided(2), Equals(False))
        table.add(lease('c', started_at=2), 2)
        self.assertThat(table.server_state(SERVER).is_avoided(2.01), Equals(True))

    def test_stragglers_do_not_make_a_server_slow_for_long(self) -> None:
        table = LeaseTable()
        for number in range(20):
            table.add(lease(str(number)), 0)
            table.release(FlowKey(str(number).encode()), Outcome.DONE, 0.05)
        table.add(lease('x'), 0)
        table.release(FlowKey(b'x'), Outcome.DONE, 0.35)
        self.assertThat(table.server_state(SERVER).decayed_slowness(0.36), LessThan(1.5))
        self.assertThat(table.server_state(SERVER).decayed_slowness(0.36), GreaterThan(1.0))
