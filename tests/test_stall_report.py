"""Tests of the search for flows whose requests stay unanswered."""

from testtools import TestCase
from testtools.matchers import Equals

from berylstair.ids import BackendId, FlowKey
from berylstair.segment import SEQUENCE_SPACE, Segment
from berylstair.server_death import EVIDENCE_RETENTION_S, ServerLifetime
from berylstair.stall_report import (
    MAX_REPORTS_PER_S,
    MAX_REPORTS_PER_SERVER,
    FlowNews,
    ReportBudget,
    StallTracker,
)

SERVER = ServerLifetime(BackendId('i-0001'), 1000)
REQUEST = Segment(FlowKey(bytes(12)), False, False, False, 50, 7000, 9, b'', data_length=100)
ACKNOWLEDGEMENT = REQUEST._replace(sequence=150, acknowledged=7500, data_length=0)
# Times at which a caller sends an unanswered request.
SENT_AT_S = (0.0, 0.2, 0.6, 1.4, 3.0)


def observe_all(segments: list[tuple[float, Segment]]) -> list[FlowNews]:
    """Returns what each of some segments shows, with the times of their arrival."""
    tracker = StallTracker()
    return [tracker.observe(SERVER, segment, at) for at, segment in segments]


class StallTest(TestCase):
    """Which segments show that a flow is stalled."""

    def test_the_second_retransmission_shows_a_stall(self) -> None:
        """Guards against suspicions of servers that answer within the latency target."""
        news = observe_all([(at, REQUEST) for at in SENT_AT_S])
        expected = [FlowNews.NOTHING, FlowNews.NOTHING] + [FlowNews.STALLED for _ in range(3)]
        self.assertThat(news, Equals(expected))

    def test_an_acknowledgement_shows_progress(self) -> None:
        """Guards against a stall of a request that was answered."""
        for acknowledged in (7500, 7001):
            answer = ACKNOWLEDGEMENT._replace(acknowledged=acknowledged)
            news = observe_all([(0, REQUEST), (0.6, answer), (0.7, REQUEST)])
            self.assertThat(news[1:], Equals([FlowNews.PROGRESS, FlowNews.NOTHING]))

    def test_progress_over_the_end_of_the_sequence_space(self) -> None:
        """Guards against progress that looks like a step back."""
        request = REQUEST._replace(acknowledged=SEQUENCE_SPACE - 1)
        news = observe_all([(0, request), (0.6, request._replace(acknowledged=9, data_length=0))])
        self.assertThat(news[1], Equals(FlowNews.PROGRESS))

    def test_what_is_no_retransmission_shows_nothing(self) -> None:
        """Guards against suspicions by acknowledgements, further requests and old segments."""
        for name, segment in (
            ('acknowledgement', REQUEST._replace(data_length=0)),
            ('next request, sent without waiting', REQUEST._replace(sequence=150)),
            ('reordered', REQUEST._replace(acknowledged=6000, sequence=20)),
            ('closing', REQUEST._replace(is_closing=True)),
            ('reset', REQUEST._replace(is_reset=True)),
        ):
            with self.subTest(name=name):
                news = observe_all([(0, REQUEST), (0.6, segment)])
                self.assertThat(news[1], Equals(FlowNews.NOTHING))

    def test_a_request_to_another_lifetime_begins_anew(self) -> None:
        """Guards against a stall at a server that has restarted since."""
        tracker = StallTracker()
        tracker.observe(SERVER, REQUEST, 0)
        restarted = SERVER._replace(started_at_ms=2000)
        self.assertThat(tracker.observe(restarted, REQUEST, 0.6), Equals(FlowNews.NOTHING))

    def test_copies_that_waited_in_a_paused_process_show_nothing(self) -> None:
        """Guards against a stall of a request that this instance has only just forwarded."""
        news = observe_all([(2.0, REQUEST) for _ in SENT_AT_S])
        self.assertThat(set(news), Equals({FlowNews.NOTHING}))

    def test_copies_that_waited_after_the_first_one_show_nothing(self) -> None:
        """Guards against a stall of a request whose first copy was lost before a pause."""
        news = observe_all([(0.0, REQUEST), (0.45, REQUEST), (0.7, REQUEST)])
        self.assertThat(set(news), Equals({FlowNews.NOTHING}))

    def test_an_answer_under_way_at_the_crash_does_not_count_against_a_stall(self) -> None:
        """Guards against a death that stays unknown since another flow was just answered."""
        tracker = StallTracker()
        for at in SENT_AT_S[:3]:
            tracker.observe(SERVER, REQUEST, at)
        self.assertThat(tracker.silent_since(REQUEST.flow), Equals(0.2))

    def test_a_stall_without_the_first_retransmission(self) -> None:
        """Guards against a lost retransmission that hides a stall."""
        tracker = StallTracker()
        tracker.observe(SERVER, REQUEST, 0)
        self.assertThat(tracker.observe(SERVER, REQUEST, 0.6), Equals(FlowNews.STALLED))
        self.assertThat(tracker.silent_since(REQUEST.flow), Equals(0))

    def test_requests_are_dropped_once_their_callers_have_given_up(self) -> None:
        """Guards against memory that grows with each request that was lost."""
        tracker = StallTracker()
        tracker.observe(SERVER, REQUEST, 0)
        tracker.prune(EVIDENCE_RETENTION_S - 0.1)
        self.assertThat(len(tracker), Equals(1))
        tracker.prune(EVIDENCE_RETENTION_S)
        self.assertThat(len(tracker), Equals(0))


class ReportBudgetTest(TestCase):
    """The number of reports does not grow with the number of flows."""

    def test_reports_in_a_second(self) -> None:
        """Guards against a storm of reports when a server or a zone fails."""
        budget = ReportBudget()
        one = sum(budget.take(SERVER, 0.001 * number) for number in range(900))
        self.assertThat(one, Equals(MAX_REPORTS_PER_SERVER))
        others = [SERVER._replace(started_at_ms=number) for number in range(900)]
        rest = sum(budget.take(server, 0.9) for server in others)
        self.assertThat(rest, Equals(MAX_REPORTS_PER_S - MAX_REPORTS_PER_SERVER))
        self.assertThat(budget.take(SERVER, 1.0), Equals(True))
