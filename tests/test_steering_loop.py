"""Tests of the loop that carries out what the core decides."""

import os
from tempfile import TemporaryFile
from typing import Any
from unittest import mock

from testtools import TestCase
from testtools.matchers import Contains, Equals

from berylstair.catalogue import LogEvent
from berylstair.linelog import LineLog
from berylstair.serving import boot_clock
from berylstair.shared_action import LogEntry
from berylstair.steering_action import SendMessage
from berylstair.steering_loop import SteeringLoop
from berylstair.udp import MAX_DATAGRAMS_PER_READ
from emulator.simulation import SimulatedWorld


class ActionTest(TestCase):
    """Actions of one event, and the order of events."""

    def test_a_late_timer_runs_after_what_arrived_before_it(self) -> None:
        # Sizes of the reads that are to come, how late the timer is, and how many segments
        # are handled before it.
        full = MAX_DATAGRAMS_PER_READ
        for sizes, late_s, expected in (
            ((full, full, 8), 0.5, 2 * full + 8),
            ((1,), 0.5, 1),
            ((0,), 0.5, 0),
            ((full, 8), 0.0, 0),
        ):
            steering = mock.Mock(wake_at=None, is_ready=False)
            steering.core.rng.random.return_value = 0.5
            steering.take_actions.return_value = []
            sockets = mock.Mock()
            segments = [(f'segment {number}', 0.1) for number in range(full)]
            sockets.read_segments.side_effect = [segments[:size] for size in sizes]
            sockets.read_messages.return_value = ()
            loop = SteeringLoop(mock.Mock(), steering, sockets, mock.Mock())
            loop.run_timers_due_at(boot_clock() - late_s)
            calls = [name for name, _, _ in steering.mock_calls]
            with self.subTest(sizes=sizes, late_s=late_s):
                before_timers = calls[: calls.index('run_timers')]
                self.assertThat(before_timers.count('handle_segment'), Equals(expected))

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
