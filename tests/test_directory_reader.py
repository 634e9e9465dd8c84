"""Tests of the reader of the directory's source against a source that fails."""

from collections.abc import Iterator
from itertools import chain, repeat
from random import Random
from threading import Event

from testtools import TestCase
from testtools.matchers import AllMatch, Equals, GreaterThan, LessThan, MatchesAll

from berylstair.directory import Position
from berylstair.directory_reader import (
    RETRY_MAX_DELAY_S,
    DirectoryReader,
    ReadDirectory,
    ReadSink,
    SourceAnswer,
)
from berylstair.directory_source import (
    DirectorySource,
    HistoryLost,
    PositionNotReached,
    SourceListing,
    SourceRestored,
)
from berylstair.errors import SourceError
from berylstair.read_schedule import WATCH_TIMEOUT_S, ReadPlan

# Shortest pause that keeps a fleet of hundreds of instances within the rate of the source.
MIN_PAUSE_S = 0.05
FAILURE_COUNT = 8
DIRECTORY_POSITION = Position(1, 5)
LISTING = SourceListing(Position(2, 4), ())
DEFAULT_PLAN = ReadPlan(True, DIRECTORY_POSITION)


class FailingSource(DirectorySource):
    """A source whose calls raise the given errors in order, then succeed.

    Attributes:
        calls: Names of the calls so far.
        watches: Position and waiting time of each watch so far.
    """

    def __init__(self, errors: Iterator[Exception | None]) -> None:
        """Prepares the results of the calls."""
        self._errors = errors
        self.calls: list[str] = []
        self.watches: list[tuple[Position, float]] = []

    def read_all(self) -> SourceListing:
        """Lists the source."""
        return self._answer('read_all')

    def watch(self, after: Position, wait_s: float) -> SourceListing:
        """Watches the source."""
        self.watches.append((after, wait_s))
        return self._answer('watch')

    def close(self) -> None:
        """Does nothing, as there is no connection."""

    def _answer(self, call: str) -> SourceListing:
        self.calls.append(call)
        error = next(self._errors)
        if error is not None:
            raise error
        return LISTING


class DirectoryReaderTest(TestCase):
    """Every kind of failure is reported, and followed by a bounded pause and another read."""

    def read_until_listed(
        self,
        *errors: Exception | None,
        answers: int = 1,
        plan: ReadPlan = DEFAULT_PLAN,
    ) -> tuple[FailingSource, list[float], list[str]]:
        """Runs a reader until it has a number of answers.

        Returns:
            The source, the pauses and the failures.
        """
        source = FailingSource(chain(errors, repeat(None)))
        self.answers: list[SourceAnswer] = []
        answers_left = iter(range(answers - 1, -1, -1))
        pauses_s: list[float] = []
        failures: list[str] = []
        listed = Event()
        stopped = Event()

        def count_answer(answer: SourceAnswer) -> bool:
            self.answers.append(answer)
            if next(answers_left) == 0:
                listed.set()
            return True

        def pause(seconds: float) -> None:
            if listed.is_set():
                stopped.wait()
            else:
                pauses_s.append(seconds)

        reader = DirectoryReader.start(
            source,
            lambda: plan._replace(is_due=not listed.is_set()),
            ReadSink(count_answer, failures.append),
            Random(1),
            pause,
        )
        self.addCleanup(reader.stop)
        self.addCleanup(stopped.set)
        reader.tell(ReadDirectory())
        self.assertThat(listed.wait(10), Equals(True))
        return source, pauses_s, failures

    def test_every_failure_is_followed_by_a_bounded_pause(self) -> None:
        for error in (
            HistoryLost('gone'),
            SourceError('down'),
            KeyError('store_revision'),
            ValueError('odd'),
        ):
            with self.subTest(error=error):
                source, pauses_s, failures = self.read_until_listed(*repeat(error, FAILURE_COUNT))
                self.assertThat(len(failures), Equals(FAILURE_COUNT))
                self.assertThat(len(source.calls), Equals(FAILURE_COUNT + 1))
                self.assertThat(len(pauses_s), Equals(FAILURE_COUNT))
                is_bounded = MatchesAll(GreaterThan(MIN_PAUSE_S), LessThan(RETRY_MAX_DELAY_S + 0.1))
                self.assertThat(pauses_s, AllMatch(is_bounded))

    def test_a_lost_history_is_followed_by_listings_until_one_succeeds(self) -> None:
        source, _, _ = self.read_until_listed(HistoryLost('gone'), SourceError('down'))
        self.assertThat(source.calls, Equals(['watch', 'read_all', 'read_all']))

    def test_a_position_that_the_source_never_had_is_followed_by_a_listing_that_refutes_it(
        self,
    ) -> None:
        for error in (HistoryLost('ahead'), PositionNotReached('era 0')):
            with self.subTest(error=error):
                plan = ReadPlan(True, Position(LISTING.position.era, LISTING.position.revision + 1))
                source, _, _ = self.read_until_listed(error, plan=plan)
                self.assertThat(source.calls, Equals(['watch', 'read_all']))
                self.assertThat(self.answers[0].refuted, Equals(plan.position))

    def test_a_listing_of_the_directorys_position_refutes_nothing(self) -> None:
        for position in (LISTING.position, DIRECTORY_POSITION):
            with self.subTest(position=position):
                self.read_until_listed(HistoryLost('gone'), plan=ReadPlan(True, position))
                self.assertThat(self.answers[0].refuted, Equals(None))

    def test_the_first_watch_after_a_failure_is_answered_at_once(self) -> None:
        source, _, _ = self.read_until_listed(SourceError('down'), answers=2)
        waits_s = [wait_s for _, wait_s in source.watches]
        self.assertThat(waits_s, Equals([WATCH_TIMEOUT_S, 0, WATCH_TIMEOUT_S]))

    def test_a_restored_source_is_listed_at_once(self) -> None:
        source, pauses_s, failures = self.read_until_listed(SourceRestored('era 2'))
        self.assertThat(source.calls, Equals(['watch', 'read_all']))
        self.assertThat((pauses_s, failures), Equals(([], [])))

    def test_a_watch_begins_at_a_listing_of_a_new_era_that_is_not_applied_yet(self) -> None:
        source, _, _ = self.read_until_listed(SourceRestored('era 2'), answers=2)
        self.assertThat(source.calls, Equals(['watch', 'read_all', 'watch']))
        positions = [position for position, _ in source.watches]
        self.assertThat(positions, Equals([DIRECTORY_POSITION, LISTING.position]))
