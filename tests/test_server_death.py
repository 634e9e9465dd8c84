"""Tests of the decision that a server has died under open flows, without a network."""

from collections.abc import Callable

import pytest
from testtools import TestCase
from testtools.matchers import Equals

from berylstair.death_register import DEATH_VALIDITY_S, DeathRegister
from berylstair.ids import BackendId, InstanceId
from berylstair.server_death import (
    CHECK_MIN_INTERVAL_S,
    EVIDENCE_RETENTION_S,
    MAX_CHECKS_PER_S,
    ROUND_TIMEOUT_S,
    CheckBudget,
    CheckOutcome,
    CheckResult,
    DeathDetector,
    EntryMark,
    ServerLifetime,
    shows_death,
)

SERVER = ServerLifetime(BackendId('i-0001'), 1000)
REPORTER = InstanceId('entry-9')
NEAR, OTHER_NEAR, FAR = (InstanceId(f'entry-{number}') for number in (1, 2, 3))
ACCEPTED, REFUSED, NOT_ACCEPTED, UNKNOWN = CheckOutcome
IN_ZONE, ELSEWHERE = True, False

Event = Callable[[DeathDetector], object]


def stall(caller: bytes, since: float, reported_at: float) -> Event:
    """Returns the event that a flow of a caller is stalled."""
    return lambda detector: detector.record_stall(SERVER, caller, since, REPORTER, reported_at)


def progress(at: float) -> Event:
    """Returns the event that a flow of the server showed progress."""
    return lambda detector: detector.record_progress(SERVER, at)


def entry(sequence: int, is_removed: bool = False) -> Event:
    """Returns the event that the directory holds a state of the server's entry."""
    return lambda detector: detector.record_entry(SERVER, EntryMark(sequence, is_removed))


def checks(at: float = 1.6, **outcomes: CheckOutcome) -> Event:
    """Returns the events of a round of checks; instances named ``far`` are in another zone."""

    def run(detector: DeathDetector) -> None:
        is_in_zone_by_id = {InstanceId(name): not name.startswith('far') for name in outcomes}
        detector.begin_round(SERVER, is_in_zone_by_id, at)
        for name, outcome in outcomes.items():
            detector.record_result(SERVER, InstanceId(name), outcome)
        detector.end_round(SERVER, at + ROUND_TIMEOUT_S)

    return run


def accept_late(detector: DeathDetector) -> None:
    """Delivers a successful check after the others of its round have failed."""
    detector.record_result(SERVER, InstanceId('near'), CheckOutcome.ACCEPTED)


TWO_STALLS = (stall(b'caller', 1.0, 1.6), stall(b'second', 1.1, 1.7))
ONE_STALL = (stall(b'caller', 1.0, 1.6),)
TWO_FAILED = checks(near=NOT_ACCEPTED, other=NOT_ACCEPTED)

# Name, whether the entry is gone for certain, and the events.
ALIVE_CASES: tuple[tuple[str, bool, tuple[Event, ...]], ...] = (
    ('nothing is known', False, ()),
    ('slow', False, (*TWO_STALLS, checks(near=ACCEPTED, other=ACCEPTED))),
    ('frozen: accepted, no answer', False, (*TWO_STALLS, checks(near=ACCEPTED, other=ACCEPTED))),
    ('frozen, the store dropped it', True, (*TWO_STALLS, checks(near=ACCEPTED, other=ACCEPTED))),
    ('cut off from the store', True, (*TWO_STALLS, checks(near=ACCEPTED, far=ACCEPTED))),
    ('cut off from the store, idle', True, (TWO_FAILED,)),
    ('cut off from one instance', False, (*TWO_STALLS, checks(near=NOT_ACCEPTED, far=ACCEPTED))),
    (
        'cut off from the reporters and some others',
        False,
        (*TWO_STALLS, checks(near=NOT_ACCEPTED, other=NOT_ACCEPTED, far=ACCEPTED)),
    ),
    (
        'cut off with its zone',
        False,
        (*TWO_STALLS, checks(far=NOT_ACCEPTED, far_too=NOT_ACCEPTED, far_last=NOT_ACCEPTED)),
    ),
    (
        'cut off with its zone until its entry was dropped',
        True,
        (*TWO_STALLS, checks(far=NOT_ACCEPTED, far_too=NOT_ACCEPTED)),
    ),
    (
        'lossy link, one check lost',
        False,
        (*TWO_STALLS, checks(near=NOT_ACCEPTED, other=ACCEPTED)),
    ),
    (
        'lossy link, other flows go on',
        False,
        (*TWO_STALLS, progress(1.5), TWO_FAILED),
    ),
    (
        'lossy link, flows go on during the checks',
        False,
        (*TWO_STALLS, TWO_FAILED, progress(1.9)),
    ),
    (
        'flapping: accepted between two failures',
        False,
        (*TWO_STALLS, TWO_FAILED, accept_late),
    ),
    ('one caller with a fault of its own', False, (*ONE_STALL, TWO_FAILED)),
    (
        'one caller that sends twice',
        False,
        (*ONE_STALL, stall(b'caller', 1.2, 1.9), TWO_FAILED),
    ),
    ('only one instance found it unreachable', False, (*TWO_STALLS, checks(near=REFUSED))),
    (
        'the other instance was paused',
        False,
        (*TWO_STALLS, checks(near=NOT_ACCEPTED, other=UNKNOWN)),
    ),
    ('both instances were paused', True, (*TWO_STALLS, checks(near=UNKNOWN, other=UNKNOWN))),
    ('checks without suspicion', False, (TWO_FAILED,)),
    ('its entry was written since', False, (*TWO_STALLS, entry(4), entry(5), TWO_FAILED)),
    (
        'its entry is back',
        False,
        (*TWO_STALLS, entry(4, is_removed=True), entry(4), TWO_FAILED),
    ),
    (
        'an instance was paused and missed progress',
        False,
        (*TWO_STALLS, lambda detector: detector.clear(), TWO_FAILED),
    ),
    (
        'callers gave up long ago',
        False,
        (*TWO_STALLS, lambda detector: detector.prune(1.7 + EVIDENCE_RETENTION_S), TWO_FAILED),
    ),
    (
        'an old report that arrives after progress',
        False,
        (progress(2.0), *ONE_STALL, progress(2.0), stall(b'second', 1.1, 2.1), TWO_FAILED),
    ),
)

DEAD_CASES: tuple[tuple[str, bool, tuple[Event, ...]], ...] = (
    ('nothing comes back in its zone', False, (*TWO_STALLS, TWO_FAILED)),
    ('refused', False, (*TWO_STALLS, checks(near=REFUSED, other=REFUSED))),
    (
        'refused elsewhere, no instance in its zone',
        False,
        (*TWO_STALLS, checks(far=REFUSED, far_too=REFUSED)),
    ),
    (
        'one instance in its zone, one elsewhere',
        False,
        (*TWO_STALLS, checks(near=NOT_ACCEPTED, far=NOT_ACCEPTED)),
    ),
    (
        'the third instance was paused',
        False,
        (*TWO_STALLS, checks(near=NOT_ACCEPTED, other=NOT_ACCEPTED, far=UNKNOWN)),
    ),
    ('progress before the stalls', False, (progress(0.9), *TWO_STALLS, TWO_FAILED)),
    ('entry gone, one caller', True, (*ONE_STALL, checks(near=NOT_ACCEPTED))),
    ('entry gone, refused', True, (*ONE_STALL, checks(far=REFUSED))),
)


def is_found_dead(is_entry_gone: bool, events: tuple[Event, ...]) -> bool:
    """Returns whether a detector finds the server dead after some events."""
    detector = DeathDetector()
    for event in events:
        event(detector)
    return detector.is_dead(SERVER, is_entry_gone)


@pytest.mark.parametrize(('name', 'is_entry_gone', 'events'), ALIVE_CASES)
def test_a_live_server_does_not_look_dead(
    name: str, is_entry_gone: bool, events: tuple[Event, ...]
) -> None:
    """Guards against resets of the open flows of a live server."""
    assert not is_found_dead(is_entry_gone, events), name


@pytest.mark.parametrize(('name', 'is_entry_gone', 'events'), DEAD_CASES)
def test_a_dead_server_is_found(name: str, is_entry_gone: bool, events: tuple[Event, ...]) -> None:
    """Guards against callers that wait for a dead server until their deadline."""
    assert is_found_dead(is_entry_gone, events), name


class ShowsDeathTest(TestCase):
    """The rule on its own."""

    def test_no_evidence_without_checks(self) -> None:
        """Guards against a death that only retransmissions show."""
        self.assertThat(shows_death(9, is_presumed_dead=True, checks=()), Equals(False))

    def test_one_success_outweighs_all_failures(self) -> None:
        """Guards against a majority of instances that are cut off from the server."""
        failed = [CheckResult(NOT_ACCEPTED, IN_ZONE) for _ in range(5)]
        success = CheckResult(ACCEPTED, ELSEWHERE)
        self.assertThat(shows_death(9, is_presumed_dead=True, checks=failed), Equals(True))
        self.assertThat(
            shows_death(9, is_presumed_dead=True, checks=[*failed, success]), Equals(False)
        )


class RoundTest(TestCase):
    """When checks are due and when a round is over."""

    def test_a_check_is_due_once_two_callers_are_stalled(self) -> None:
        """Guards against checks, which occupy slots, without enough suspicion."""
        detector = DeathDetector()
        ONE_STALL[0](detector)
        self.assertThat(
            detector.is_check_due(SERVER, is_presumed_dead=False, now=1.6), Equals(False)
        )
        self.assertThat(detector.is_check_due(SERVER, is_presumed_dead=True, now=1.6), Equals(True))
        TWO_STALLS[1](detector)
        self.assertThat(
            detector.is_check_due(SERVER, is_presumed_dead=False, now=1.7), Equals(True)
        )

    def test_rounds_keep_their_distance(self) -> None:
        """Guards against more than one round for a server in two seconds."""
        detector = DeathDetector()
        for event in TWO_STALLS:
            event(detector)
        begun = [
            detector.begin_round(SERVER, {NEAR: IN_ZONE}, 2 + 0.25 * step) for step in range(9)
        ]
        self.assertThat(begun, Equals([step % 8 == 0 for step in range(9)]))

    def test_a_missing_reply_does_not_hold_up_the_decision(self) -> None:
        """Guards against a lost reply that keeps a death unknown."""
        detector = DeathDetector()
        for event in TWO_STALLS:
            event(detector)
        detector.begin_round(SERVER, {NEAR: IN_ZONE, OTHER_NEAR: IN_ZONE, FAR: ELSEWHERE}, 2)
        detector.record_result(SERVER, NEAR, NOT_ACCEPTED)
        detector.record_result(SERVER, FAR, NOT_ACCEPTED)
        self.assertThat(detector.end_round(SERVER, 2.5), Equals(False))
        self.assertThat(detector.end_round(SERVER, 2 + ROUND_TIMEOUT_S), Equals(True))
        self.assertThat(detector.end_round(SERVER, 3), Equals(False))

    def test_only_instances_that_were_asked_count(self) -> None:
        """Guards against two replies of which one belongs to no round."""
        detector = DeathDetector()
        for event in TWO_STALLS:
            event(detector)
        detector.begin_round(SERVER, {NEAR: IN_ZONE}, 2)
        detector.record_result(SERVER, NEAR, NOT_ACCEPTED)
        self.assertThat(detector.record_result(SERVER, FAR, NOT_ACCEPTED), Equals(False))
        self.assertThat(detector.is_dead(SERVER, is_presumed_dead=False), Equals(False))


class CheckBudgetTest(TestCase):
    """Checks occupy slots of the servers, so an instance carries out few of them."""

    def test_one_check_of_a_server_in_two_seconds(self) -> None:
        """Guards against checks that take the slots of a slow server."""
        budget = CheckBudget()
        taken = [budget.take(SERVER, 0.5 * step) for step in range(9)]
        self.assertThat(taken, Equals([step % 4 == 0 for step in range(9)]))

    def test_a_bounded_number_in_a_second(self) -> None:
        """Guards against a storm of checks when a whole zone is suspected."""
        budget = CheckBudget()
        servers = [ServerLifetime(BackendId(f'i-{number}'), 1) for number in range(100)]
        taken = sum(budget.take(server, 0.005 * number) for number, server in enumerate(servers))
        self.assertThat(taken, Equals(MAX_CHECKS_PER_S))
        self.assertThat(budget.take(servers[-1], CHECK_MIN_INTERVAL_S), Equals(True))


class DeathRegisterTest(TestCase):
    """Verdicts arrive in any order, and their validity ends."""

    def test_the_newest_verdict_holds_in_any_order(self) -> None:
        """Guards against a late notice that declares a server dead which is alive again."""
        for numbers in ((1, 2), (2, 1), (1, 2, 1)):
            register = DeathRegister()
            for number in numbers:
                register.apply(SERVER, number, (5, 4), EntryMark(1, is_removed=False))
            self.assertThat(register.is_dead(SERVER, 5.1), Equals(False))

    def test_a_death_is_believed_for_a_limited_time(self) -> None:
        """Guards against resets after a notice was lost that the server is alive again."""
        register = DeathRegister()
        register.apply(SERVER, 1, (5, 4), EntryMark(1, is_removed=False))
        self.assertThat(register.is_dead(SERVER, 5 + DEATH_VALIDITY_S - 0.1), Equals(True))
        self.assertThat(register.is_dead(SERVER, 5 + DEATH_VALIDITY_S), Equals(False))
        self.assertThat(register.is_marked(SERVER), Equals(True))

    def test_another_lifetime_is_not_dead(self) -> None:
        """Guards against a restarted server that gets no flows."""
        register = DeathRegister()
        register.apply(SERVER, 1, (5, 4), EntryMark(1, is_removed=False))
        restarted = SERVER._replace(started_at_ms=2000)
        self.assertThat(register.is_dead(restarted, 5), Equals(False))

    def test_only_progress_after_the_last_needed_request_refutes_a_death(self) -> None:
        """Guards against answers under way at the crash that clear the suspicion."""
        register = DeathRegister()
        register.apply(SERVER, 1, (5, 4), EntryMark(1, is_removed=False))
        refuted = [register.is_refuted_by(SERVER, progress_at) for progress_at in (3.9, 4.1)]
        self.assertThat(refuted, Equals([False, True]))
