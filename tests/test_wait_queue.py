"""Tests of the order in which waiting flows get a slot, and of the refusal of flows."""

import math

from testtools import TestCase
from testtools.matchers import Equals

from berylstair.admission import expected_wait_s, should_refuse
from berylstair.assigner import Assigner, PlacementDecision
from berylstair.cold_servers import ColdServers
from berylstair.counter import Counters
from berylstair.directory import Directory
from berylstair.ids import FlowKey, InstanceId, ServiceName, ZoneId
from berylstair.server_selection import PlacementConstraints
from berylstair.service_order import work_ahead_s
from berylstair.wait_queue import PlacementRequest, WaitQueue


def placement_request(
    name: str, arrived_at: float, priority: int = 2, last_opening_at: float | None = None
) -> PlacementRequest:
    """Returns a request for a flow with a latency target of 250 ms."""
    return PlacementRequest(
        FlowKey(name.encode()),
        ServiceName('s'),
        InstanceId('e'),
        PlacementConstraints(ZoneId('z'), 'status'),
        arrived_at,
        arrived_at if last_opening_at is None else last_opening_at,
        0.25,
        priority,
    )


def usual_work_s(_kind: str) -> float:
    """Returns the work time of any kind."""
    return 0.05


class WaitQueueTest(TestCase):
    """Flows that can be in time go first, by priority, then late ones; newest first in overload."""

    def test_order(self) -> None:
        # Name, arrival time, priority and latest opening segment of each flow; expected first.
        cases = (
            ((('a', 0.9, 2), ('b', 0.95, 2)), b'a'),
            ((('a', 0.9, 2), ('b', 0.95, 1)), b'b'),
            ((('a', 0.1, 1), ('b', 0.95, 2)), b'b'),
            ((('a', 0.1, 2), ('b', 0.5, 2)), b'b'),
            ((('a', 0.1, 2, 0.7), ('b', 0.5, 2)), b'a'),
            ((), None),
        )
        for waiting, expected in cases:
            queue = WaitQueue()
            for arguments in waiting:
                queue.add(placement_request(*arguments), arguments[1])
            first = queue.select_next(usual_work_s, 21, 1.0)
            self.assertThat(first and first.flow, Equals(expected))

    def test_the_newest_goes_first_while_not_all_can_be_in_time(self) -> None:
        # Waiting flows, slots, and the flow that is placed first; flow 0 is the oldest.
        for count, slots, expected in ((3, 21, b'0'), (90, 21, b'89'), (90, 300, b'0')):
            queue = WaitQueue()
            for number in range(count):
                queue.add(placement_request(str(number), 0.9 + number / 1000), 0.9 + number / 1000)
            first = queue.select_next(usual_work_s, slots, 1.0)
            self.assertThat(first and first.flow, Equals(expected))

    def test_one_slot_in_four_goes_to_the_longest_waiting_flow(self) -> None:
        queue = WaitQueue()
        for name, arrived_at in (
            ('old', 0.1),
            ('late', 0.15),
            ('a', 0.96),
            ('b', 0.97),
            ('c', 0.98),
        ):
            queue.add(placement_request(name, arrived_at), arrived_at)
        order = []
        while queue:
            first = queue.select_next(usual_work_s, 21, 1.0)
            order.append(first.flow)
            queue.remove_placed(first)
        self.assertThat(order, Equals([b'a', b'b', b'c', b'old', b'late']))

    def test_a_flow_that_arrived_old_gets_no_precedence(self) -> None:
        queue = WaitQueue()
        for name, arrived_at in (('old', 0.1), ('a', 0.96), ('b', 0.97), ('c', 0.98)):
            queue.add(placement_request(name, arrived_at), 0.95)
        order = []
        while queue:
            first = queue.select_next(usual_work_s, 21, 1.0)
            order.append(first.flow)
            queue.remove_placed(first)
        self.assertThat(order, Equals([b'a', b'b', b'c', b'old']))

    def test_a_repeated_request_is_one_flow(self) -> None:
        queue = WaitQueue()
        queue.add(placement_request('a', 0.2), 0.2)
        queue.add(placement_request('a', 0.2, last_opening_at=0.4), 0.4)
        self.assertThat(len(queue), Equals(1))
        # The first opening segment counts: callers give up 1.4 s after it.
        hopeless = queue.find_hopeless(usual_work_s, 1.4)
        self.assertThat([each.flow for each in hopeless], Equals([b'a']))


class RefusingTest(TestCase):
    """Only flows that cannot be offered or answered in time are refused."""

    def test_should_refuse(self) -> None:
        # Work ahead in seconds, slots, work time, time waited so far and deadline; refused or not.
        cases = (
            (0.0, 21, 0.05, 0.0, math.inf, False),
            (5.0, 21, 0.05, 0.0, math.inf, False),
            (25.0, 21, 0.05, 0.0, math.inf, True),
            (15.0, 21, 0.05, 0.6, math.inf, True),
            (15.0, 21, 0.05, 0.0, 0.77, False),
            (15.0, 21, 0.05, 0.0, 0.76, True),
            (0.0, 21, 0.05, 0.0, 0.04, True),
        )
        for ahead_s, slots, work_s, waited_s, deadline_s, expected in cases:
            wait_s = expected_wait_s(ahead_s, slots)
            is_refused = should_refuse(wait_s, work_s, waited_s, deadline_s)
            self.assertThat(is_refused, Equals(expected))

    def test_a_flow_is_refused_where_no_server_has_slots(self) -> None:
        directory = Directory()
        cold_servers = ColdServers(directory, None, lambda _service, _now: False, Counters())
        assigner = Assigner(directory, lambda _zone: True, cold_servers)
        decided = assigner.place(placement_request('a', 1.0), 1.0)
        self.assertThat(decided.decision, Equals(PlacementDecision.REFUSED))

    def test_only_flows_that_come_first_count_as_ahead(self) -> None:
        # 20 flows of 50 ms wait. Priority and kind of a new one, and the work ahead of it:
        # all of its own kind, of another kind as much as of its own, none of a lower priority.
        waiting = [placement_request(str(number), 0.9) for number in range(20)]
        cases = ((2, 'status', 1.0), (2, 'report', 0.05), (1, 'status', 0.0), (3, 'report', 1.0))
        for priority, kind, expected_s in cases:
            constraints = PlacementConstraints(ZoneId('z'), kind)
            request = placement_request('new', 1.0, priority)._replace(constraints=constraints)
            ahead_s = work_ahead_s(request, waiting, usual_work_s)
            self.assertThat(round(ahead_s, 6), Equals(expected_s))
