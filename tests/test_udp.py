"""Tests of UDP sockets that stamp arrivals."""

import socket
import time

from testtools import TestCase
from testtools.matchers import Equals, GreaterThan, LessThan

from berylstair.ids import Endpoint
from berylstair.udp import open_udp_socket, receive_stamped

WAIT_S = 0.15


class StampedReadTest(TestCase):
    """Datagrams are read with the time that they waited."""

    def open_pair(self, stamps_arrivals: bool) -> tuple[socket.socket, socket.socket]:
        """Opens a receiver, and a sender that is connected to it."""
        receiver = open_udp_socket(Endpoint('127.0.0.1', 0), stamps_arrivals)
        self.addCleanup(receiver.close)
        sender = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.addCleanup(sender.close)
        sender.connect(receiver.getsockname())
        return receiver, sender

    def test_a_datagram_has_waited_since_its_arrival_however_late_it_is_read(self) -> None:
        receiver, sender = self.open_pair(stamps_arrivals=True)
        sender.send(b'early')
        time.sleep(WAIT_S)
        sender.send(b'late')
        waited_by_data = dict(receive_stamped(receiver))
        self.assertThat(waited_by_data[b'early'], GreaterThan(WAIT_S - 0.01))
        elapsed_s = waited_by_data[b'early'] - waited_by_data[b'late']
        self.assertThat(elapsed_s, GreaterThan(WAIT_S - 0.01))
        self.assertThat(waited_by_data[b'late'], LessThan(waited_by_data[b'early']))
        self.assertThat(list(receive_stamped(receiver)), Equals([]))

    def test_the_wait_is_unknown_without_a_stamp(self) -> None:
        receiver, sender = self.open_pair(stamps_arrivals=False)
        sender.send(b'any')
        self.assertThat(list(receive_stamped(receiver)), Equals([(b'any', None)]))
