"""Tests of UDP sockets whose datagrams are stamped at their arrival."""

import socket
import time
from unittest import mock

from testtools import TestCase
from testtools.matchers import Equals, GreaterThan, LessThan

from berylstair.ids import Endpoint
from berylstair.udp import ArrivalClock, StampedReader, open_udp_socket

WAIT_S = 0.15
BRIEF_S = 0.05


class StampedReadTest(TestCase):
    """Datagrams are read with the time that they waited."""

    def setUp(self) -> None:
        """Opens a receiver, and a sender that is connected to it."""
        super().setUp()
        receiver = open_udp_socket(Endpoint('127.0.0.1', 0))
        self.addCleanup(receiver.close)
        self.reader = StampedReader(receiver)
        self.sender = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.addCleanup(self.sender.close)
        self.sender.connect(receiver.getsockname())

    def read_one(self) -> float:
        """Sends a datagram and returns how long it has waited when it is read at once."""
        self.sender.send(b'now')
        return dict(self.reader.receive())[b'now']

    def test_a_datagram_has_waited_since_its_arrival_however_late_it_is_read(self) -> None:
        self.read_one()
        self.sender.send(b'early')
        time.sleep(WAIT_S)
        self.sender.send(b'late')
        waited_by_data = dict(self.reader.receive())
        self.assertThat(waited_by_data[b'early'], GreaterThan(WAIT_S - 0.01))
        elapsed_s = waited_by_data[b'early'] - waited_by_data[b'late']
        self.assertThat(elapsed_s, GreaterThan(WAIT_S - 0.01))
        self.assertThat(list(self.reader.receive()), Equals([]))

    def test_a_process_whose_time_of_day_differs_from_the_kernels_knows_the_wait(self) -> None:
        for ahead_s in (2.0, -2.0, 2400.0):
            with mock.patch.object(time, 'time', return_value=time.time() + ahead_s):
                waits_s = [self.read_one() for _ in range(3)]
            with self.subTest(ahead_s=ahead_s):
                self.assertThat(max(waits_s), LessThan(BRIEF_S))

    def test_the_wait_is_unknown_without_a_stamp(self) -> None:
        with mock.patch('berylstair.udp._find_stamp', return_value=None):
            self.sender.send(b'any')
            self.assertThat(list(self.reader.receive()), Equals([(b'any', None)]))


class ArrivalClockTest(TestCase):
    """Waits from stamps while the time of day is set."""

    def test_waits_when_the_time_of_day_is_set(self) -> None:
        # Stamp, time of reading and time at which the socket was last empty; the wait.
        steps = (
            (1000.0, 50.0, 49.0, 0.0),
            (1000.5, 50.75, 50.0, 0.25),
            # The time of day is set ahead by 100 s.
            (1101.0, 51.0, 50.75, 0.0),
            (1101.0, 51.5, 51.0, 0.5),
            # It is set back by 100 s.
            (1002.0, 52.0, 51.5, None),
            (1002.5, 52.5, 52.0, 0.0),
            (1002.5, 53.0, 52.5, 0.5),
        )
        clock = ArrivalClock()
        for stamp, read_at, emptied_at, expected in steps:
            with self.subTest(stamp=stamp, read_at=read_at):
                self.assertThat(clock.wait_s(stamp, read_at, emptied_at), Equals(expected))
