"""Tests of the loop that carries out what the core decides."""

import os
from tempfile import TemporaryFile
from typing import Any
from unittest import mock

from testtools import TestCase
from testtools.matchers import Contains, Equals

from berylstair.catalogue import LogEvent
from berylstair.linelog import LineLog
from berylstair.shared_action import LogEntry
from berylstair.steering_action import SendMessage
from berylstair.steering_loop import SteeringLoop
from emulator.simulation import SimulatedWorld


class ActionTest(TestCase):
    """Actions of one event."""

    def test_an_action_that_fails_keeps_no_other_from_being_done(self) -> None:
        steering = next(iter(SimulatedWorld(1).steering_by_ip.values()))
        sockets = mock.Mock()
        # As the socket module does for a port out of range.
        sockets.send_message.side_effect = OverflowError('port must be 0-65535.')
        with TemporaryFile() as output:
            log = LineLog(output.fileno(), 'entry-1')
            loop = SteeringLoop(steering.core.settings, steering, sockets, log)
            actions: list[Any] = [
                SendMessage(steering.core.settings.peer_endpoint, None),
                LogEntry(LogEvent.PEER_LOST, 'peer=entry-2'),
            ]
            steering.core.actions.extend(actions)
            loop.perform_actions()
            written = os.pread(output.fileno(), 10_000, 0).decode()
        self.assertThat(written, Contains('internal_fault'))
        self.assertThat(written, Contains('peer=entry-2'))
        self.assertThat(steering.take_actions(), Equals([]))
