"""Tests of the copies that correct the tags of servers that were offered a flow in vain."""

from testtools import TestCase
from testtools.matchers import Equals

from berylstair.flowtrack import FlowPhase, TrackedFlow
from berylstair.ids import FlowKey
from berylstair.segment import Segment
from berylstair.steering_action import SendSegment
from berylstair.tag import tag_of
from berylstair.tag_correction import CORRECTION_S, TagCorrector
from emulator.simulation import SERVICE, SimulatedWorld

KEY = FlowKey(bytes(12))
# A flow counts as moved once other servers get three of its segments and its own gets none.
MAX_SEGMENTS_ELSEWHERE = 2


class CopyTest(TestCase):
    """Copies with and without segments of the caller."""

    def send_copies(self, offers: int, caller_segments: int) -> list[SendSegment]:
        """Returns the copies for a flow with a number of offers, its server's included."""
        world = SimulatedWorld(1)
        world.add_servers(offers)
        core = world.steering_by_ip['10.0.0.1'].core
        core.timers.run_due(world.now)
        servers = tuple(server.backend_server for server in world.server_by_id.values())
        opening = Segment(KEY, True, False, False, 7, 0, 0, b'')
        flow = TrackedFlow(KEY, None, SERVICE, opening, world.now, world.now, core.fleet.own_id)
        flow.phase = FlowPhase.OPEN
        flow.offered = servers
        flow.server = servers[0]
        flow.tag = tag_of(servers[0].id)
        flow.is_server_confirmed = True
        corrector = TagCorrector(core)
        corrector.start(flow, world.now)
        for _ in range(caller_segments):
            corrector.send_copies(flow)
        core.timers.run_due(world.now + CORRECTION_S + 1)
        corrector.send_copies(flow)
        return [action for action in core.actions if isinstance(action, SendSegment)]

    def test_copies_carry_the_tag_of_the_flows_server_to_each_other_one(self) -> None:
        for offers in (1, 2, 3, 4):
            copies = self.send_copies(offers, 12)
            with self.subTest(offers=offers):
                targets = {copy.server.id for copy in copies}
                self.assertThat(len(targets), Equals(offers - 1))
                tags = {copy.tag for copy in copies} - {tag_of('i-0001')}
                self.assertThat(tags, Equals(set()))

    def test_few_copies_go_without_a_segment_of_the_caller(self) -> None:
        for offers in (2, 3, 4):
            for caller_segments in (0, 1):
                copies = self.send_copies(offers, caller_segments)
                with self.subTest(offers=offers, caller_segments=caller_segments):
                    self.assertThat(len(copies) <= MAX_SEGMENTS_ELSEWHERE, Equals(True))
