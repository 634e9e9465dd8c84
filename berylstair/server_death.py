"""Decides which backend servers have died under open flows.

The load: long-lived flows that carry many requests with pauses between them, on servers
that crash without any notification. A caller that sends its next request to such a server
would wait until its deadline. A server that is slow, frozen or cut off must not look dead,
so retransmissions only raise a suspicion, and connections to the server decide.
"""

import math
from collections.abc import Collection, Mapping
from dataclasses import dataclass, field
from enum import IntEnum, unique
from typing import NamedTuple

from berylstair.ids import BackendId, InstanceId

__all__ = [
    'CheckBudget',
    'CheckOutcome',
    'CheckResult',
    'DeathDetector',
    'EntryMark',
    'ServerLifetime',
    'shows_death',
]

# Callers give up a request after 3.6 s; what was seen before says nothing about this one.
EVIDENCE_RETENTION_S = 3.6
# One caller that retransmits may have a fault of its own.
MIN_STALLED_CALLERS = 2
# Two instances must find the server unreachable, as the link of one may be at fault.
MIN_FAILED_CHECKS = 2
# Callers and reporters remembered for a server; more add nothing to the decision.
MAX_CALLERS_PER_SERVER = 8
MAX_REPORTERS_PER_SERVER = 16
# A check occupies a slot of the server: at most one in this time from one instance.
CHECK_MIN_INTERVAL_S = 2.0
# A round ends after this time, though a reply may be missing: a check takes up to 0.5 s, the
# messages for it a few milliseconds, or a tenth of a second on a busy processor.
ROUND_TIMEOUT_S = 0.65
# Checks that one instance carries out in a second.
MAX_CHECKS_PER_S = 8
# Rounds of checks that one dispatching instance begins in a second.
MAX_ROUNDS_PER_S = 8


@unique
class CheckOutcome(IntEnum):
    """Outcome of a liveness check.

    ACCEPTED: the connection was accepted, whatever was answered. REFUSED: the machine
    refused it. NOT_ACCEPTED: nothing came back. UNKNOWN: the check was not carried out,
    or the checking instance did not run all the time.
    """

    ACCEPTED = 1
    REFUSED = 2
    NOT_ACCEPTED = 3
    UNKNOWN = 4


class ServerLifetime(NamedTuple):
    """One lifetime of a backend server's process.

    Attributes:
        started_at_ms: Start time of the process as the server states it.
    """

    backend: BackendId
    started_at_ms: int


@dataclass(frozen=True, slots=True)
class EntryMark:
    """State of a server's entry in the directory when it was found dead.

    Attributes:
        sequence: Number of the server's report.
    """

    sequence: int
    is_removed: bool

    def is_renewed_by(self, current: 'EntryMark') -> bool:
        """Returns whether the server has written its entry since."""
        is_back = self.is_removed and not current.is_removed
        return is_back or current.sequence > self.sequence


class CheckResult(NamedTuple):
    """What one instance found.

    Attributes:
        is_in_zone: Whether that instance is in the server's zone. A connection from
            elsewhere that nobody accepts may only show that the zone is cut off.
    """

    outcome: CheckOutcome
    is_in_zone: bool


class _Stall(NamedTuple):
    """A flow whose request is unanswered.

    Attributes:
        since: When a copy of the request was forwarded after which none was answered.
        reported_at: When its last retransmission was reported.
    """

    since: float
    reported_at: float


@dataclass(slots=True)
class _Suspect:
    """Evidence about one lifetime of a server.

    Attributes:
        reporters: Instances that reported stalled flows.
        progress_at: When any flow last showed progress.
        round_started_at: When the last round of checks began.
        is_in_zone_by_checker: Instances that were asked in that round.
        has_round_ended: Whether that round is over, so that it decides nothing any more.
        result_by_checker: Results of that round.
        entry: State of the server's entry when it was first suspected.
    """

    stall_by_caller: dict[bytes, _Stall] = field(default_factory=dict)
    reporters: set[InstanceId] = field(default_factory=set)
    progress_at: float = -math.inf
    round_started_at: float = -math.inf
    is_in_zone_by_checker: Mapping[InstanceId, bool] = field(default_factory=dict)
    has_round_ended: bool = True
    result_by_checker: dict[InstanceId, CheckResult] = field(default_factory=dict)
    entry: EntryMark | None = None


def shows_death(
    stalled_caller_count: int, is_presumed_dead: bool, checks: Collection[CheckResult]
) -> bool:
    """Returns whether the evidence about a server shows that it is dead.

    Args:
        stalled_caller_count: Callers with a stalled flow, none of the server's flows having
            shown progress since.
        is_presumed_dead: Whether the server's entry is gone for certain, or the server was
            found dead before; one caller and one check suffice then.
        checks: Results of the last round of checks.
    """
    if any(check.outcome is CheckOutcome.ACCEPTED for check in checks):
        return False
    failed = [
        check
        for check in checks
        if check.outcome in {CheckOutcome.REFUSED, CheckOutcome.NOT_ACCEPTED}
    ]
    is_conclusive = any(
        check.outcome is CheckOutcome.REFUSED or check.is_in_zone for check in failed
    )
    if is_presumed_dead:
        return is_conclusive and stalled_caller_count > 0
    return (
        is_conclusive
        and len(failed) >= MIN_FAILED_CHECKS
        and stalled_caller_count >= MIN_STALLED_CALLERS
    )


class DeathDetector:
    """Collects evidence about the servers of the services that an instance dispatches."""

    def __init__(self) -> None:
        """Starts without evidence."""
        self._suspect_by_server: dict[ServerLifetime, _Suspect] = {}
        self._round_budget = CheckBudget(MAX_ROUNDS_PER_S)

    @property
    def suspects(self) -> list[ServerLifetime]:
        """Servers about which there is evidence."""
        return list(self._suspect_by_server)

    def clear(self) -> None:
        """Drops all evidence, as after a pause in which progress may have been missed."""
        self._suspect_by_server.clear()

    def forget(self, server: ServerLifetime) -> None:
        """Drops the evidence about one server."""
        self._suspect_by_server.pop(server, None)

    def reporters_of(self, server: ServerLifetime) -> set[InstanceId]:
        """Returns the instances that reported stalled flows of a server."""
        suspect = self._suspect_by_server.get(server)
        return set(suspect.reporters) if suspect else set()

    def silent_since(self, server: ServerLifetime, is_presumed_dead: bool) -> float:
        """Returns when the last request was sent that the suspicion needs, in seconds.

        Progress after that time refutes the suspicion.
        """
        suspect = self._suspect_by_server.get(server)
        stalls = suspect.stall_by_caller.values() if suspect else ()
        newest = sorted((stall.since for stall in stalls), reverse=True)
        needed = 1 if is_presumed_dead else MIN_STALLED_CALLERS
        return newest[needed - 1] if len(newest) >= needed else math.inf

    def record_stall(
        self, server: ServerLifetime, caller: bytes, since: float, reporter: InstanceId, now: float
    ) -> None:
        """Records a flow that retransmits data without progress.

        Args:
            server: Server of the flow.
            caller: Address and port of its caller.
            since: When a copy of the data was forwarded after which none was answered, in
                seconds.
            reporter: Instance that saw it.
            now: Current time in seconds.
        """
        suspect = self._suspect_by_server.setdefault(server, _Suspect())
        if since < suspect.progress_at:
            return
        if len(suspect.reporters) < MAX_REPORTERS_PER_SERVER:
            suspect.reporters.add(reporter)
        stalls = suspect.stall_by_caller
        if caller in stalls or len(stalls) < MAX_CALLERS_PER_SERVER:
            stalls[caller] = _Stall(since, now)

    def record_progress(self, server: ServerLifetime, progress_at: float) -> None:
        """Records that a flow of a server showed progress at a time in seconds.

        Checks that are under way end without a result if one began before that time.
        """
        suspect = self._suspect_by_server.get(server)
        if suspect is None or progress_at <= suspect.progress_at:
            return
        suspect.progress_at = progress_at
        suspect.stall_by_caller = {
            caller: stall
            for caller, stall in suspect.stall_by_caller.items()
            if stall.since >= progress_at
        }
        if progress_at >= suspect.round_started_at:
            suspect.has_round_ended = True

    def record_entry(self, server: ServerLifetime, entry: EntryMark) -> None:
        """Drops the evidence about a server that has written its entry since."""
        suspect = self._suspect_by_server.get(server)
        if suspect is None:
            return
        if suspect.entry is not None and suspect.entry.is_renewed_by(entry):
            self._suspect_by_server.pop(server)
        else:
            suspect.entry = suspect.entry or entry

    def is_check_due(self, server: ServerLifetime, is_presumed_dead: bool, now: float) -> bool:
        """Returns whether a suspicion calls for a round of checks now."""
        suspect = self._suspect_by_server.get(server)
        if suspect is None:
            return False
        needed = 1 if is_presumed_dead else MIN_STALLED_CALLERS
        is_pause_over = now - suspect.round_started_at >= CHECK_MIN_INTERVAL_S
        return is_pause_over and len(suspect.stall_by_caller) >= needed

    def begin_round(
        self, server: ServerLifetime, is_in_zone_by_checker: Mapping[InstanceId, bool], now: float
    ) -> bool:
        """Begins a round of checks.

        Args:
            server: Server to check.
            is_in_zone_by_checker: Instances that check it, with whether each is in its zone.
            now: Current time in seconds.

        Returns:
            False if one was begun just before, or too many of other servers.
        """
        suspect = self._suspect_by_server.setdefault(server, _Suspect())
        is_too_early = now - suspect.round_started_at < CHECK_MIN_INTERVAL_S
        if is_too_early or not self._round_budget.take(server, now):
            return False
        suspect.round_started_at = now
        suspect.is_in_zone_by_checker = dict(is_in_zone_by_checker)
        suspect.has_round_ended = False
        suspect.result_by_checker = {}
        return True

    def record_result(
        self, server: ServerLifetime, checker: InstanceId, outcome: CheckOutcome
    ) -> bool:
        """Records what an instance found; returns whether it was asked in this round."""
        suspect = self._suspect_by_server.get(server)
        if suspect is None or checker not in suspect.is_in_zone_by_checker:
            return False
        is_in_zone = suspect.is_in_zone_by_checker[checker]
        suspect.result_by_checker[checker] = CheckResult(outcome, is_in_zone)
        if outcome is CheckOutcome.ACCEPTED:
            suspect.stall_by_caller.clear()
        return True

    def end_round(self, server: ServerLifetime, now: float) -> bool:
        """Ends a round of which all results are in or the time is over.

        Returns:
            Whether it has ended now, so that its results are to be judged.
        """
        suspect = self._suspect_by_server.get(server)
        if suspect is None or suspect.has_round_ended:
            return False
        is_complete = len(suspect.result_by_checker) == len(suspect.is_in_zone_by_checker)
        suspect.has_round_ended = is_complete or now >= suspect.round_started_at + ROUND_TIMEOUT_S
        return suspect.has_round_ended

    def is_dead(self, server: ServerLifetime, is_presumed_dead: bool) -> bool:
        """Returns whether flows and the results of the last round show that a server is dead."""
        suspect = self._suspect_by_server.get(server)
        if suspect is None:
            return False
        return shows_death(
            len(suspect.stall_by_caller), is_presumed_dead, suspect.result_by_checker.values()
        )

    def has_failed_again(self, server: ServerLifetime) -> bool:
        """Returns whether the last round confirms a death, also without further stalled flows."""
        suspect = self._suspect_by_server.get(server)
        if suspect is None:
            return False
        return shows_death(1, is_presumed_dead=True, checks=suspect.result_by_checker.values())

    def prune(self, now: float) -> None:
        """Drops evidence that is older than callers wait."""
        oldest = now - EVIDENCE_RETENTION_S
        for server, suspect in tuple(self._suspect_by_server.items()):
            suspect.stall_by_caller = {
                caller: stall
                for caller, stall in suspect.stall_by_caller.items()
                if stall.reported_at > oldest
            }
            if not suspect.stall_by_caller and suspect.round_started_at < oldest:
                self._suspect_by_server.pop(server)


class CheckBudget:
    """Limits checks: one per server in two seconds, and a number per second in all."""

    def __init__(self, max_per_s: int = MAX_CHECKS_PER_S) -> None:
        """Starts with the whole budget of a second."""
        self._max_per_s = max_per_s
        self._last_at_by_server: dict[ServerLifetime, float] = {}

    def take(self, server: ServerLifetime, now: float) -> bool:
        """Counts a check at a time in seconds and returns whether it is within the limits."""
        self._last_at_by_server = {
            checked: at
            for checked, at in self._last_at_by_server.items()
            if now - at < CHECK_MIN_INTERVAL_S
        }
        recent_count = sum(now - at < 1 for at in self._last_at_by_server.values())
        if server in self._last_at_by_server or recent_count >= self._max_per_s:
            return False
        self._last_at_by_server[server] = now
        return True
