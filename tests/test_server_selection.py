"""Tests of the choice of a backend server."""

from testtools import TestCase
from testtools.matchers import Equals

from berylstair.ids import BackendId, Endpoint, FlowKey, InstanceId, ZoneId
from berylstair.lease_table import Lease, LeaseTable, Outcome
from berylstair.record import BackendServer, BackendState
from berylstair.server_selection import (
    PlacementConstraints,
    ServerCandidate,
    choose_server,
    has_queue_room,
    lease_limit,
)

LOCAL_ZONE = ZoneId('here')
REMOTE_ZONE = ZoneId('there')


def server(name: str, zone: ZoneId = LOCAL_ZONE, slots: int = 3) -> BackendServer:
    """Returns a server that takes new flows."""
    address = Endpoint('10.1.0.1', 9000)
    return BackendServer(BackendId(name), zone, address, slots, 2000, 1.0, BackendState.ACTIVE)


def add_leases(table: LeaseTable, name: str, count: int) -> None:
    """Adds leases on a server."""
    for number in range(count):
        flow = FlowKey(f'{name}-{number}'.encode())
        table.add(Lease(flow, BackendId(name), 'status', InstanceId('e'), 0), 0)


class ServerChoiceTest(TestCase):
    """The server that is expected to answer first is chosen."""

    def test_choice(self) -> None:
        # Leases on a (local), b (local) and c (remote); cold, unresponsive and excluded
        # servers; expected choice.
        cases = (
            ((0, 0, 0), '', '', '', 'a'),
            ((2, 0, 0), '', '', '', 'b'),
            ((2, 2, 0), '', '', '', 'a'),
            ((3, 3, 0), '', '', '', 'c'),
            ((0, 1, 0), 'a', '', '', 'b'),
            ((0, 0, 0), '', 'a', '', 'b'),
            ((0, 0, 0), '', '', 'a', 'b'),
            ((0, 0, 0), '', 'ab', '', 'c'),
            ((0, 0, 0), '', 'abc', '', 'a'),
        )
        servers = (server('a'), server('b'), server('c', REMOTE_ZONE))
        for counts, cold, silent, excluded, expected in cases:
            table = LeaseTable()
            for each, count in zip(servers, counts, strict=True):
                add_leases(table, each.id, count)
            for name in silent * 2:
                flow = FlowKey(f'silent-{name}'.encode())
                table.add(Lease(flow, BackendId(name), 'status', InstanceId('e'), 0), 0)
                table.release(flow, Outcome.SILENT, 0)
            for each in servers:
                table.server_state(each.id).last_leased_at = 0
            candidates = [
                ServerCandidate(each, table.server_state(each.id), each.id in cold)
                for each in servers
            ]
            constraints = PlacementConstraints(
                LOCAL_ZONE, 'status', tuple(BackendId(name) for name in excluded)
            )
            chosen = choose_server(candidates, constraints, 0.01)
            self.assertThat(chosen and chosen.server.id, Equals(expected))

    def test_no_servers(self) -> None:
        self.assertThat(choose_server([], PlacementConstraints(LOCAL_ZONE, ''), 0), Equals(None))

    def test_a_server_at_its_limit_is_skipped_when_capacity_is_required(self) -> None:
        table = LeaseTable()
        add_leases(table, 'a', 4)
        candidate = ServerCandidate(server('a'), table.server_state(BackendId('a')), False)
        constraints = PlacementConstraints(LOCAL_ZONE, 'status')
        self.assertThat(
            choose_server([candidate], constraints, 0, requires_capacity=True), Equals(None)
        )
        self.assertThat(choose_server([candidate], constraints, 0), Equals(candidate))

    def test_a_free_slot_is_found_in_a_large_service(self) -> None:
        table = LeaseTable()
        servers = [server(f's{number}') for number in range(200)]
        for each in servers[:-1]:
            add_leases(table, each.id, 4)
        candidates = [ServerCandidate(each, table.server_state(each.id), False) for each in servers]
        for step in range(20):
            chosen = choose_server(
                candidates,
                PlacementConstraints(LOCAL_ZONE, 'status'),
                step / 7,
                requires_capacity=True,
            )
            self.assertThat(chosen and chosen.server.id, Equals('s199'))

    def test_lease_and_queue_limits(self) -> None:
        # Leases on a server with 3 slots; below its lease limit; room in its queue.
        cases = ((0, True, True), (3, True, True), (4, False, True), (12, False, False))
        for lease_count, has_slot, has_queue in cases:
            table = LeaseTable()
            add_leases(table, 'a', lease_count)
            candidate = ServerCandidate(server('a'), table.server_state(BackendId('a')), False)
            limits = (lease_count < lease_limit(candidate.server), has_queue_room(candidate))
            self.assertThat(limits, Equals((has_slot, has_queue)))
