"""Tests of the rate-limited log."""

import os

from testtools import TestCase
from testtools.matchers import Contains, Equals, LessThan

from berylstair.catalogue import LogEvent
from berylstair.linelog import LineLog

LINE_COUNT = 5000


class LineLogTest(TestCase):
    """Lines that cannot be written at once are dropped and counted."""

    def setUp(self) -> None:
        """Opens a pipe that nobody reads."""
        super().setUp()
        self.reader, self.writer = os.pipe()
        self.addCleanup(os.close, self.reader)
        self.addCleanup(os.close, self.writer)

    def test_line_format(self) -> None:
        LineLog(self.writer, 'entry-1').write(LogEvent.STARTED, 'zone=here')
        line = os.read(self.reader, 4096).decode()
        self.assertThat(line, Contains('E101 started'))
        self.assertThat(line, Contains('at="entry-1" zone=here\n'))

    def test_excess_lines_are_dropped_without_blocking(self) -> None:
        log = LineLog(self.writer, 'entry-1')
        for _ in range(LINE_COUNT):
            log.write(LogEvent.FLOW_PLACED, 'x' * 300)
        written = os.read(self.reader, 1 << 20).count(b'\n')
        self.assertThat(written, LessThan(LINE_COUNT))
        self.assertThat(written + log.dropped_count >= LINE_COUNT, Equals(True))
