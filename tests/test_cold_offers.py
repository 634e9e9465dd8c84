"""Tests of the opening segments that the holder of a flow sends to cold servers."""

from testtools import TestCase
from testtools.matchers import Equals, HasLength

from berylstair.assigner import PlacementDecision
from berylstair.directory import ColdStart
from berylstair.flowtrack import FlowPhase
from berylstair.ids import BackendId, FlowKey
from berylstair.segment import Segment
from berylstair.steering import SteeringInstance
from berylstair.steering_action import SendSegment
from berylstair.steering_message import PlacementReplyBatch, PlacementReplyRow
from berylstair.steering_settings import ColdLimit
from berylstair.tag import tag_of
from emulator.simulation import SERVICE, SERVICE_ADDRESS, SimulatedWorld

FLOW = FlowKey(bytes(6) + bytes((198, 18, 0, 1)) + SERVICE_ADDRESS.port.to_bytes(2, 'big'))
OPENING = Segment(FLOW, True, False, False, 7, 0, 0, b'')
MAX_INTEGER = (1 << 63) - 1


class Holder:
    """An instance that holds one flow, whose dispatching instance is another one."""

    def __init__(self) -> None:
        """Starts three instances with two cold servers and sends the opening segment."""
        world = SimulatedWorld(3, 1, cold_limit=ColdLimit(1.5, 5.0))
        world.add_route(cold_start=ColdStart(60.0, 0.0))
        world.add_servers(2)
        for backend in world.server_by_id:
            world.list_cold(backend, 60.0)
        world.run(2)
        self.started_at = world.now
        self.first, self.second = world.server_by_id
        self.opening_counts: dict[BackendId, int] = {self.first: 0, self.second: 0}
        self.steering, self.dispatcher_ip = self._find_holder(world)
        self.send(OPENING, 0)

    def send(self, segment: Segment, after_s: float) -> None:
        """Delivers a segment of the caller."""
        self.steering.handle_segment(segment, self.started_at + after_s, 0)
        self._count_openings()

    def send_data(self, backend: BackendId, after_s: float) -> None:
        """Delivers a segment of the open flow, with the tag of its server."""
        tag = tag_of(backend)
        self.send(
            OPENING._replace(is_opening=False, sequence=8, acknowledged=1001, tag=tag), after_s
        )

    def reply(self, backend: BackendId, cold_age_ms: int, after_s: float) -> None:
        """Delivers a placement decision of the dispatching instance."""
        row = PlacementReplyRow(FLOW, SERVICE, PlacementDecision.PLACED, backend, 0, cold_age_ms)
        now = self.started_at + after_s
        self.steering.handle_message(self.dispatcher_ip, PlacementReplyBatch((row,)), now)
        self._count_openings()

    def run_timers(self, after_s: float) -> None:
        """Runs the timers that are due."""
        self.steering.run_timers(self.started_at + after_s)
        self._count_openings()

    @property
    def phase(self) -> FlowPhase:
        """Phase of the flow."""
        flow = self.steering.core.flows.get(FLOW)
        return flow.phase if flow else FlowPhase.OVER

    def _find_holder(self, world: SimulatedWorld) -> tuple[SteeringInstance, str]:
        for steering in world.steering_by_ip.values():
            fleet = steering.core.fleet
            target = fleet.find_endpoint(fleet.find_dispatcher(SERVICE, world.now))
            if target is not None:
                return steering, target.ip
        raise LookupError('no instance has another one as its dispatching instance')

    def _count_openings(self) -> None:
        for action in self.steering.take_actions():
            if isinstance(action, SendSegment) and action.segment.is_opening:
                self.opening_counts[BackendId(action.server.id)] += 1


class ColdOffersTest(TestCase):
    """Each opening segment at a cold server belongs to a grant in time."""

    def test_a_late_grant_or_one_for_a_usual_server_is_not_used(self) -> None:
        cases = (
            (0, 0.01, 1),
            (8, 0.01, 1),
            (0, 0.049, 1),
            (0, 0.06, 0),
            (100, 0.18, 0),
            (170, 0.18, 1),
            (-1, 0.01, 0),
            (-2000, 0.01, 0),
            (500, 0.01, 0),
            (MAX_INTEGER, 0.01, 0),
        )
        for cold_age_ms, after_s, expected in cases:
            holder = Holder()
            holder.reply(holder.first, cold_age_ms, after_s)
            with self.subTest(cold_age_ms=cold_age_ms, after_s=after_s):
                self.assertThat(holder.opening_counts[holder.first], Equals(expected))

    def test_a_copy_of_the_caller_needs_another_grant(self) -> None:
        holder = Holder()
        holder.reply(holder.first, 0, 0.01)
        holder.send(OPENING._replace(acknowledged=1), 0.2)
        self.assertThat(holder.opening_counts[holder.first], Equals(1))
        self.assertThat(holder.phase, Equals(FlowPhase.ASKED))
        holder.reply(holder.first, 201, 0.21)
        self.assertThat(holder.opening_counts[holder.first], Equals(2))

    def test_a_copy_of_the_caller_does_not_make_a_recent_offer_count_as_unanswered(self) -> None:
        holder = Holder()
        holder.reply(holder.first, 170, 0.18)
        holder.send(OPENING._replace(acknowledged=1), 0.2)
        self.assertThat(holder.opening_counts[holder.first], Equals(1))
        self.assertThat(holder.phase, Equals(FlowPhase.OFFERED))

    def test_a_copy_of_the_caller_is_dropped_once_the_flow_is_open(self) -> None:
        holder = Holder()
        holder.reply(holder.first, 0, 0.01)
        holder.send_data(holder.first, 0.03)
        holder.send(OPENING._replace(acknowledged=1), 0.2)
        self.assertThat(holder.opening_counts[holder.first], Equals(1))

    def test_a_cold_server_that_was_offered_a_flow_in_vain_is_corrected_once(self) -> None:
        for opened_after_s, expected in ((0.09, 2), (1.5, 1)):
            holder = Holder()
            holder.reply(holder.first, 0, 0.01)
            holder.run_timers(0.08)
            self.assertThat(holder.phase, Equals(FlowPhase.ASKED))
            holder.reply(holder.second, 81, 0.085)
            for number in range(8):
                holder.send_data(holder.second, opened_after_s + number * 0.1)
            holder.run_timers(opened_after_s + 6)
            with self.subTest(opened_after_s=opened_after_s):
                self.assertThat(holder.opening_counts[holder.first], Equals(expected))
                self.assertThat(holder.opening_counts, HasLength(2))
