"""Finds dead servers together with the other instances, and resets their open flows.

The instances that see requests unanswered report them to the dispatching instance of the
service. It requests liveness checks from two instances, decides, and notifies the others.
"""

from collections.abc import Callable, Iterable, Mapping
from typing import Any

from berylstair.catalogue import LogEvent
from berylstair.check_rounds import CheckRounds
from berylstair.counter import Traffic
from berylstair.death_register import DeathRegister
from berylstair.directory_sync import READER_FANOUT_PEERS, RELAY_FANOUT_PEERS
from berylstair.flow_opener import FlowOpener
from berylstair.flowtrack import FlowPhase, TrackedFlow
from berylstair.ids import BackendId, InstanceId
from berylstair.lease_table import Outcome
from berylstair.segment import Segment
from berylstair.server_death import (
    EVIDENCE_RETENTION_S,
    ROUND_TIMEOUT_S,
    CheckOutcome,
    DeathDetector,
    ServerLifetime,
)
from berylstair.server_death_message import (
    CheckReplyBatch,
    CheckRequestBatch,
    ProgressBatch,
    ProgressRow,
    StallBatch,
    StallRow,
    VerdictBatch,
    VerdictRow,
)
from berylstair.server_facts import ServerFacts
from berylstair.stall_report import FlowNews, ReportBudget, StallTracker
from berylstair.steering_action import ResetCaller, SendMessage
from berylstair.steering_core import SteeringCore

__all__ = ['REVIEW_INTERVAL_S', 'FailedServers']

# Suspicions and verdicts are looked through this often, as entries and time change them.
REVIEW_INTERVAL_S = 0.25
# Messages that waited while the process was paused are read within this time after it.
BACKLOG_READ_S = 0.25
MS_PER_S = 1000
_CALLER_BYTES = 6
_MAX_AGE_MS = EVIDENCE_RETENTION_S * MS_PER_S
# Flows last no longer than a day, and no server fails this often in one lifetime; peers may
# state any number.
_MAX_SILENT_MS = 86400 * MS_PER_S
_MAX_VERDICT_NUMBER = 1 << 31


class FailedServers:
    """Reports stalled flows, decides on deaths as a dispatching instance, and resets callers.

    It does nothing for services whose configuration states no path for liveness checks.

    Attributes:
        rounds: Liveness checks, for this instance and for others.
    """

    def __init__(self, core: SteeringCore, flow_opener: FlowOpener) -> None:
        """Starts without suspicions.

        Args:
            core: State shared with the other parts.
            flow_opener: Reports the end of flows that are reset.
        """
        self._core = core
        self._flow_opener = flow_opener
        self._tracker = StallTracker()
        self._detector = DeathDetector()
        self._register = DeathRegister()
        self._facts = ServerFacts(core, self._tracker, self._register)
        self.rounds = CheckRounds(core, self._facts, self._detector, self._record_outcome)
        self._report_budget = ReportBudget()
        self._reported: set[ServerLifetime] = set()
        self._ignores_messages_until = 0.0
        core.assigner.is_server_dead = self.is_server_dead

    def is_server_dead(self, backend: BackendId, now: float) -> bool:
        """Returns whether the present lifetime of a server counts as dead."""
        started_at_ms = self._core.directory.started_at_ms(backend)
        return self._register.is_dead(ServerLifetime(backend, started_at_ms), now)

    def message_handlers(self) -> Mapping[type[Any], Callable[[InstanceId, Any, float], None]]:
        """Returns the handlers of the messages of this protocol, by message type."""
        return {
            StallBatch: self._handle_stalls,
            ProgressBatch: self._handle_progress_rows,
            CheckRequestBatch: self.rounds.handle_check_requests,
            CheckReplyBatch: self.rounds.handle_check_replies,
            VerdictBatch: self._handle_verdicts,
        }

    def handle_segment(self, flow: TrackedFlow, segment: Segment, now: float) -> bool:
        """Observes a segment that is not an opening one; resets its caller if the server is dead.

        Args:
            flow: Flow of the segment.
            segment: The segment.
            now: Current time in seconds.

        Returns:
            Whether the caller was reset, so that the segment is not to be forwarded.
        """
        server = self._facts.find_active(flow)
        if server is None:
            return False
        news = self._tracker.observe(server, segment, now)
        if news is FlowNews.PROGRESS:
            self._handle_progress(server, now)
        if not segment.data_length or segment.is_closing or segment.is_reset:
            return False
        if self._register.is_dead(server, now):
            self._reset_caller(segment, now)
            return True
        if news is FlowNews.STALLED:
            self._report_stall(server, segment, self._tracker.silent_since(segment.flow), now)
        elif self._register.is_marked(server):
            self._report_stall(server, segment, now, now)
        return False

    def handle_pause(self, now: float) -> None:
        """Drops what was observed before a pause, since progress may have been missed."""
        self._tracker.clear()
        self._detector.clear()
        self._reported.clear()
        self._ignores_messages_until = now + BACKLOG_READ_S

    def review(self, now: float) -> None:
        """Looks through suspicions and verdicts: the directory and time may have changed them."""
        self._tracker.prune(now)
        self._detector.prune(now)
        self._reported = {server for server in self._reported if self._facts.is_known(server)}
        for suspect in self._detector.suspects:
            self._consider(suspect, now)
        for server in self._register:
            self._review_verdict(server, now)

    def _review_verdict(self, server: ServerLifetime, now: float) -> None:
        register = self._register
        if not self._facts.is_known(server):
            self._forget_verdict(server)
        elif not register.is_marked(server):
            return
        elif register.has_new_entry(server, self._facts.entry_mark(server)):
            self._detector.forget(server)
            self._apply_verdict(server, register.number_of(server) + 1, (now, now), 'entry', now)
        elif self._facts.is_dispatched_here(server, now) and not self._facts.is_removed(server):
            self._begin_round(server, now)

    def _forget_verdict(self, server: ServerLifetime) -> None:
        """Drops the verdict on a server that has restarted or that no flow can belong to."""
        has_restarted = self._core.directory.find_server(server.backend) is not None
        if has_restarted and self._register.is_marked(server):
            self._core.log(LogEvent.SERVER_ALIVE_AGAIN, f'{_describe(server)} reason=restarted')
        self._register.forget(server)

    def _handle_progress(self, server: ServerLifetime, now: float) -> None:
        """Reports progress at a server that was reported or found dead."""
        if server not in self._reported and not self._register.is_marked(server):
            return
        self._reported.discard(server)
        if self._register.is_refuted_by(server, now):
            number = self._register.number_of(server) + 1
            self._apply_verdict(server, number, (now, now), 'progress', now)
        self._send_progress(server, now, now)

    def _send_progress(self, server: ServerLifetime, progress_at: float, now: float) -> None:
        row = ProgressRow(*server, round((now - progress_at) * MS_PER_S))
        dispatcher = self._facts.find_dispatcher(server, now)
        if dispatcher == self._core.fleet.own_id:
            self._record_progress(row, now)
        elif dispatcher is not None:
            self._core.add_row(ProgressBatch, dispatcher, row)

    def _report_stall(
        self, server: ServerLifetime, segment: Segment, silent_since: float, now: float
    ) -> None:
        """Reports an unanswered request to the dispatching instance, within the limits."""
        dispatcher = self._facts.find_dispatcher(server, now)
        if dispatcher is None or not self._report_budget.take(server, now):
            return
        self._reported.add(server)
        caller = segment.flow[:_CALLER_BYTES]
        row = StallRow(*server, caller, round((now - silent_since) * MS_PER_S))
        if dispatcher == self._core.fleet.own_id:
            self._record_stall(dispatcher, row, now)
        else:
            self._core.add_row(StallBatch, dispatcher, row)

    def _handle_stalls(self, peer: InstanceId, batch: StallBatch, now: float) -> None:
        if now < self._ignores_messages_until:
            return
        for row in batch.rows:
            self._record_stall(peer, row, now)

    def _record_stall(self, reporter: InstanceId, row: StallRow, now: float) -> None:
        server = ServerLifetime(BackendId(row.backend), row.started_at_ms)
        if not self._facts.is_known(server) or len(row.caller) != _CALLER_BYTES:
            return
        register = self._register
        is_marked = register.is_marked(server)
        if is_marked or row.unanswered_ms > 0:
            since = now - _age_s(row.unanswered_ms)
            self._detector.record_stall(server, row.caller, since, reporter, now)
        # An instance that missed a verdict hears of it now.
        has_valid = register.is_dead(server, now) or (register.number_of(server) and not is_marked)
        if has_valid and reporter != self._core.fleet.own_id:
            self._core.add_row(VerdictBatch, reporter, self._verdict_row(server, now))
        self._consider(server, now)

    def _handle_progress_rows(self, _peer: InstanceId, batch: ProgressBatch, now: float) -> None:
        for row in batch.rows:
            self._record_progress(row, now)

    def _record_progress(self, row: ProgressRow, now: float) -> None:
        server = ServerLifetime(BackendId(row.backend), row.started_at_ms)
        progress_at = now - _age_s(row.age_ms)
        self._detector.record_progress(server, progress_at)
        if self._register.is_refuted_by(server, progress_at):
            self._announce_alive(server, 'progress', now)

    def _consider(self, server: ServerLifetime, now: float) -> None:
        """Begins a round of checks of a server if the suspicion calls for it."""
        if not self._facts.is_known(server):
            self._detector.forget(server)
            return
        self._detector.record_entry(server, self._facts.entry_mark(server))
        self._detector.record_progress(server, self._facts.progress_at(server))
        if self._detector.is_check_due(server, self._facts.is_presumed_dead(server, now), now):
            self._begin_round(server, now)

    def _record_outcome(
        self, server: ServerLifetime, checker: InstanceId, outcome: CheckOutcome, now: float
    ) -> None:
        """Records a result, and decides if it was the last one of the round."""
        detector = self._detector
        if self._facts.find_check_place(server) is None:
            detector.forget(server)
            return
        detector.record_entry(server, self._facts.entry_mark(server))
        detector.record_progress(server, self._facts.progress_at(server))
        if not detector.record_result(server, checker, outcome):
            return
        if outcome is CheckOutcome.ACCEPTED and self._register.is_marked(server):
            self._announce_alive(server, 'check', now)
        else:
            self._conclude(server, now)

    def _conclude(self, server: ServerLifetime, now: float) -> None:
        """Decides on a server once its round of checks is over."""
        detector = self._detector
        detector.record_progress(server, self._facts.progress_at(server))
        if not detector.end_round(server, now) or self._facts.find_check_place(server) is None:
            return
        if not self._register.is_marked(server):
            if detector.is_dead(server, self._facts.is_presumed_dead(server, now)):
                self._announce_death(server, now)
        elif detector.has_failed_again(server):
            self._renew_death(server, now)

    def _begin_round(self, server: ServerLifetime, now: float) -> None:
        if self.rounds.begin_round(server, now):
            self._core.timers.schedule(now + ROUND_TIMEOUT_S, lambda at: self._conclude(server, at))

    def _announce_death(self, server: ServerLifetime, now: float) -> None:
        is_presumed_dead = self._facts.is_presumed_dead(server, now)
        silent_since = self._detector.silent_since(server, is_presumed_dead)
        reason = 'entry_gone' if is_presumed_dead else 'stalled_flows'
        number = self._register.number_of(server) + 1
        self._apply_verdict(server, number, (now, silent_since), reason, now)
        self._send_verdict(server, self._detector.reporters_of(server), READER_FANOUT_PEERS, now)

    def _renew_death(self, server: ServerLifetime, now: float) -> None:
        """Notes that a dead server failed its checks again, and tells who asked about it."""
        silent_since = self._register.times_of(server)[1]
        number = self._register.number_of(server)
        self._apply_verdict(server, number, (now, silent_since), 'check', now)
        self._send_verdict(server, self._detector.reporters_of(server), 0, now)

    def _announce_alive(self, server: ServerLifetime, reason: str, now: float) -> None:
        reporters = self._detector.reporters_of(server)
        self._detector.forget(server)
        number = self._register.number_of(server) + 1
        self._apply_verdict(server, number, (now, now), reason, now)
        self._send_verdict(server, reporters, READER_FANOUT_PEERS, now)

    def _send_verdict(
        self, server: ServerLifetime, reporters: Iterable[InstanceId], fanout: int, now: float
    ) -> None:
        """Sends a verdict to the instances that reported the server and to some others."""
        core = self._core
        message = VerdictBatch((self._verdict_row(server, now),))
        targets = set(core.fleet.sample_reachable_endpoints(fanout))
        targets.update(filter(None, map(core.fleet.find_endpoint, reporters)))
        core.actions.extend(SendMessage(target, message) for target in sorted(targets))

    def _verdict_row(self, server: ServerLifetime, now: float) -> VerdictRow:
        checked_at, silent_since = self._register.times_of(server)
        return VerdictRow(
            *server,
            self._register.number_of(server),
            round((now - checked_at) * MS_PER_S),
            round((now - silent_since) * MS_PER_S),
        )

    def _handle_verdicts(self, _peer: InstanceId, batch: VerdictBatch, now: float) -> None:
        """Applies verdicts of another instance, and passes on those that are new."""
        if now < self._ignores_messages_until:
            return
        for row in batch.rows:
            server = ServerLifetime(BackendId(row.backend), row.started_at_ms)
            if self._facts.is_known(server) and 0 < row.number < _MAX_VERDICT_NUMBER:
                self._handle_verdict(server, row, now)

    def _handle_verdict(self, server: ServerLifetime, row: VerdictRow, now: float) -> None:
        """Applies a verdict, or objects to a death after which a flow showed progress here."""
        silent_since = now - min(max(row.silent_ms, 0), _MAX_SILENT_MS) / MS_PER_S
        progress_at = self._facts.progress_at(server)
        if row.number % 2 and progress_at > silent_since:
            self._send_progress(server, progress_at, now)
            return
        times = (now - _age_s(row.checked_ms), silent_since)
        is_changed = self._apply_verdict(server, row.number, times, 'peer', now)
        if is_changed and self._core.fleet.is_large:
            self._send_verdict(server, (), RELAY_FANOUT_PEERS, now)

    def _apply_verdict(
        self,
        server: ServerLifetime,
        number: int,
        times: tuple[float, float],
        reason: str,
        now: float,
    ) -> bool:
        """Applies a verdict; returns whether it changes between dead and alive."""
        register = self._register
        is_changed = register.apply(server, number, times, self._facts.entry_mark(server))
        is_marked = register.is_marked(server)
        if is_changed:
            event = LogEvent.SERVER_DEAD if is_marked else LogEvent.SERVER_ALIVE_AGAIN
            self._core.log(event, f'{_describe(server)} reason={reason}')
        if register.is_dead(server, now):
            for segment in self._tracker.take_pending(server):
                self._reset_caller(segment, now)
        return is_changed

    def _reset_caller(self, segment: Segment, now: float) -> None:
        """Resets the caller of an open flow and ends the flow."""
        core = self._core
        core.actions.append(ResetCaller(segment, segment.acknowledged))
        core.counters.record_traffic(Traffic.DEAD_SERVER_RESETS)
        self._tracker.forget(segment.flow)
        flow = core.flows.get(segment.flow)
        if flow is not None and flow.phase in {FlowPhase.OFFERED, FlowPhase.OPEN}:
            flow.phase = FlowPhase.OVER
            self._flow_opener.report_flow_end(flow, Outcome.ENDED, now)


def _age_s(age_ms: int) -> float:
    """Returns an age that a peer states, in seconds, within what evidence may have."""
    return min(max(age_ms, 0), _MAX_AGE_MS) / MS_PER_S


def _describe(server: ServerLifetime) -> str:
    return f'backend={server.backend} born={server.started_at_ms}'
