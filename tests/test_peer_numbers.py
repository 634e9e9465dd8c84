"""Tests of numbers in peers' messages that no instance of this build sends."""

from testtools import TestCase
from testtools.matchers import Equals

from emulator.simulation import SimulatedWorld

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
