"""Tests of the order in which waiting flows get a slot, and of the refusal of flows."""

from testtools import TestCase
from testtools.matchers import Equals

from berylstair.admission import should_refuse
from berylstair.ids import FlowKey, InstanceId, ServiceName, ZoneId
from berylstair.server_selection import PlacementConstraints
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
            first = queue.select_next(0.05, 21, 1.0)
            self.assertThat(first and first.flow, Equals(expected))

    def test_the_newest_goes_first_while_not_all_can_be_in_time(self) -> None:
        # Waiting flows, slots, and the flow that is placed first; flow 0 is the oldest.
        for count, slots, expected in ((3, 21, b'0'), (90, 21, b'89'), (90, 300, b'0')):
            queue = WaitQueue()
            for number in range(count):
                queue.add(placement_request(str(number), 0.9 + number / 1000), 0.9 + number / 1000)
            first = queue.select_next(0.05, slots, 1.0)
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
            first = queue.select_next(0.05, 21, 1.0)
            order.append(first.flow)
            queue.remove_placed(first)
        self.assertThat(order, Equals([b'a', b'b', b'c', b'old', b'late']))

    def test_a_flow_that_arrived_old_gets_no_precedence(self) -> None:
        queue = WaitQueue()
        for name, arrived_at in (('old', 0.1), ('a', 0.96), ('b', 0.97), ('c', 0.98)):
            queue.add(placement_request(name, arrived_at), 0.95)
        order = []
        while queue:
            first = queue.select_next(0.05, 21, 1.0)
            order.append(first.flow)
            queue.remove_placed(first)
        self.assertThat(order, Equals([b'a', b'b', b'c', b'old']))

    def test_a_repeated_request_is_one_flow(self) -> None:
        queue = WaitQueue()
        queue.add(placement_request('a', 0.2), 0.2)
        queue.add(placement_request('a', 0.2, last_opening_at=0.4), 0.4)
        self.assertThat(len(queue), Equals(1))
        self.assertThat([each.flow for each in queue.find_older_than(0.5, 1.0)], Equals([b'a']))


class RefusingTest(TestCase):
    """Only flows that cannot be offered to a server in time are refused."""

    def test_should_refuse(self) -> None:
        # Waiting flows, slots, work time and time waited so far in seconds; refused or not.
        cases = (
            (0, 21, 0.05, 0.0, False),
            (100, 21, 0.05, 0.0, False),
            (500, 21, 0.05, 0.0, True),
            (300, 21, 0.05, 0.6, True),
            (0, 0, 0.05, 0.0, True),
        )
        for waiting_count, slots, work_s, waited_s, expected in cases:
            self.assertThat(should_refuse(waiting_count, slots, work_s, waited_s), Equals(expected))
