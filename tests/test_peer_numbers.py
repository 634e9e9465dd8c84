"""Tests of numbers in peers' messages that no instance of this build sends."""

from random import Random

from testtools import TestCase
from testtools.matchers import Equals

from berylstair.clock_bounds import ClockBounds
from berylstair.ids import InstanceId
from berylstair.steering_message import (
    LeaseReport,
    LeaseRow,
    PlacementRequestBatch,
    PlacementRequestRow,
)
from emulator.simulation import SERVICE, SimulatedWorld

MAX_INTEGER = (1 << 63) - 1


class OddNumberTest(TestCase):
    """Numbers in a peer's messages that no instance of this build sends."""

    def test_no_capacity_that_a_peer_states_ends_placements(self) -> None:
        for capacity in (0, -1, -MAX_INTEGER, MAX_INTEGER):
            world = SimulatedWorld(3, 1)
            world.add_route()
            world.add_servers(3)
            # The next heartbeats, which state the true capacities, come later.
            world.run(2.1)
            for ip in ('10.0.0.1', '10.0.0.2', '10.0.0.3'):
                steering = world.steering_by_ip[ip]
                peer_ip = '10.0.0.2' if ip == '10.0.0.1' else '10.0.0.1'
                core = world.steering_by_ip[peer_ip].core
                heartbeat = core.fleet.make_heartbeat(core.directory, world.now)
                steering.handle_message(
                    peer_ip, heartbeat._replace(placements_per_s=capacity), world.now
                )
            flows = [world.start_flow() for _ in range(6)]
            world.run(0.3)
            with self.subTest(capacity=capacity):
                self.assertThat({flow.outcome for flow in flows}, Equals({'answered'}))

    def test_no_age_that_a_peer_states_keeps_a_slot_or_a_place_in_the_queue(self) -> None:
        for age_ms in (-1, -1_000_000, -MAX_INTEGER, MAX_INTEGER):
            world = SimulatedWorld(2, 1)
            world.add_route()
            world.add_servers(1)
            world.run(2)
            steering = world.steering_by_ip['10.0.0.2']
            backend = next(iter(world.server_by_id))
            flows = [Random(number).randbytes(12) for number in range(20)]
            rows = tuple(LeaseRow(flow, backend, 'status', age_ms) for flow in flows[:10])
            requests = tuple(
                PlacementRequestRow(flow, SERVICE, 'status', age_ms, age_ms, 250, 1, 4000, b'')
                for flow in flows[10:]
            )
            steering.handle_message('10.0.0.1', LeaseReport(SERVICE, rows), world.now)
            steering.handle_message('10.0.0.1', PlacementRequestBatch(requests), world.now)
            world.run(3)
            steering.run_timers(world.now)
            with self.subTest(age_ms=age_ms):
                self.assertThat(steering.core.assigner.lease_count, Equals(0))
                self.assertThat(steering.core.assigner.waiting_count, Equals(0))

    def test_no_answer_time_that_a_peer_states_makes_its_old_confirmation_fresh(self) -> None:
        peer = InstanceId('entry-2')
        for answered_at in (-1e15, 0.0, 499.0):
            bounds = ClockBounds()
            bounds.record_round_trip(peer, 1, 10.0, 500.0, 10.1)
            bounds.record_round_trip(peer, 1, 10.2, answered_at, 10.3)
            # The peer's clock shows 510 at its next message, and 501 at the confirmation.
            bounds.record_message(peer, 1, 510.0, 20.1)
            confirmed_at = bounds.to_own_time(peer, 1, 501.0, 20.1)
            with self.subTest(answered_at=answered_at):
                is_old = confirmed_at is None or round(confirmed_at) <= 11
                self.assertThat(is_old, Equals(True))
