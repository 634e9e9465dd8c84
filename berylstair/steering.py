"""The sans-I/O steering core of an entry instance: takes segments and messages, returns actions.

Servers answer callers directly, so an instance sees only the segments that
callers send. Only opening segments need a placement decision. All others carry
the tag of their server, so that any instance can forward them.
"""

import math
from collections.abc import Callable, Mapping
from random import Random
from typing import Any

from berylstair.catalogue import LogEvent
from berylstair.cold_mandate import RENEWAL_INTERVAL_S
from berylstair.cold_votes import ColdVotes
from berylstair.counter import Traffic
from berylstair.directory import Position, ServerRegistration
from berylstair.directory_source import SourceListing
from berylstair.directory_sync import ChangeDecoder, DirectorySync
from berylstair.errors import ErrorKind
from berylstair.failed_servers import REVIEW_INTERVAL_S, FailedServers
from berylstair.fleet import FLEET_HEARTBEAT_INTERVAL_S
from berylstair.flow_opener import FlowOpener, superseded_after_s
from berylstair.flowlog import describe_flow
from berylstair.flowtrack import FlowPhase, TrackedFlow
from berylstair.ids import InstanceId
from berylstair.lease_table import Outcome
from berylstair.liveness import LivenessProtocol
from berylstair.placement_protocol import PlacementProtocol
from berylstair.probing import PROBE_INTERVAL_S
from berylstair.segment import Segment
from berylstair.shared_action import Stopped
from berylstair.stall_protocol import StallProtocol
from berylstair.steering_action import SendSegment, SteeringAction
from berylstair.steering_core import SteeringCore
from berylstair.steering_message import (
    ColdVote,
    ColdVoteRequest,
    DirectoryUpdate,
    FleetHeartbeat,
    PeerLost,
    StalledRequestBatch,
)
from berylstair.steering_settings import SteeringSettings

__all__ = ['SteeringInstance']

# Interval between lease reports; a lost release keeps a slot occupied for up to this long.
REPORT_INTERVAL_S = 1.0
# Time without a segment after which a flow counts as ended, until a configuration sets it.
DEFAULT_IDLE_TIMEOUT_S = 15.0
# A stopping instance keeps running until the fabric has sent it no segment for this long.
STOP_QUIET_S = 0.7
STOP_CHECK_INTERVAL_S = 0.1
# The fabric removes an instance after two failed health checks, one every half second.
MIN_STOP_S = 1.3
STOP_MARGIN_S = 1.0
# The segments that arrived during a pause are read within this time after it.
BACKLOG_READ_S = 0.25
MS_PER_S = 1000


class SteeringInstance:
    """The steering logic of one entry instance, without sockets, clocks or threads."""

    def __init__(
        self,
        settings: SteeringSettings,
        decode_change: ChangeDecoder,
        rng: Random,
        incarnation: int,
        now: float,
    ) -> None:
        """Starts with an empty directory and no known peers.

        Args:
            settings: Settings of the process.
            decode_change: Decodes a change as the directory's source wrote it.
            rng: Seeded random generator.
            incarnation: Start time of the process in ms since 1970.
            now: Current time in seconds, on any monotonic clock.
        """
        self.core = SteeringCore(settings, incarnation, rng)
        self._flow_opener = FlowOpener(self.core)
        self._stop_requested_at: float | None = None
        self._last_segment_at = now
        self._backlog_until = -math.inf
        self._is_directory_stale = False
        self._placement = PlacementProtocol(self.core, self._flow_opener)
        self._stalls = StallProtocol(self.core)
        self.directory_sync = DirectorySync(self.core, decode_change)
        self._liveness = LivenessProtocol(self.core, self._placement, self.directory_sync)
        cold_votes = ColdVotes(self.core, now)
        self.failed_servers = FailedServers(self.core, self._flow_opener)
        self._handler_by_message_type: Mapping[
            type[Any], Callable[[InstanceId, Any, float], None]
        ] = {
            DirectoryUpdate: self.directory_sync.handle_update,
            PeerLost: self._liveness.handle_peer_lost,
            StalledRequestBatch: self._stalls.handle_batch,
            ColdVoteRequest: cold_votes.handle_request,
            ColdVote: cold_votes.handle_vote,
            **self.failed_servers.message_handlers(),
        }
        for period_s, task in (
            (FLEET_HEARTBEAT_INTERVAL_S, self._liveness.send_periodic_heartbeat),
            (PROBE_INTERVAL_S, self._liveness.probe_peers),
            (FLEET_HEARTBEAT_INTERVAL_S, self._check_directory_age),
            (REPORT_INTERVAL_S, self._prune_and_report),
            (RENEWAL_INTERVAL_S, cold_votes.request_votes),
            (REVIEW_INTERVAL_S, self.failed_servers.review),
        ):
            self._schedule_periodic(period_s, task, now)

    @property
    def wake_at(self) -> float | None:
        """Time at which the next timer is due, None without timers."""
        return self.core.timers.next_at

    @property
    def is_ready(self) -> bool:
        """Whether the fabric may send packets here."""
        return self.core.directory.configuration is not None and self._stop_requested_at is None

    def take_actions(self) -> list[SteeringAction]:
        """Flushes the batches, then returns the pending actions and clears them."""
        self.core.flush()
        actions = self.core.actions
        self.core.actions = []
        return actions

    def run_timers(self, now: float) -> None:
        """Runs the timers that are due."""
        self.core.timers.run_due(now)

    def handle_segment(self, segment: Segment, now: float, waited_s: float | None = None) -> None:
        """Handles a segment from a caller.

        Args:
            segment: The segment.
            now: Current time in seconds.
            waited_s: Seconds since its arrival at this machine, None if unknown.
        """
        self._last_segment_at = now
        self.core.counters.record_traffic(Traffic.CALLER_DATAGRAMS)
        if segment.is_opening:
            self._handle_opening_segment(segment, now, waited_s)
            return
        flow = self.core.flows.get(segment.flow)
        if flow is None or not flow.is_server_confirmed:
            flow = self._confirm_server_by_tag(flow, segment, now)
        if flow is None or flow.server is None:
            self.core.counters.record_refusal(ErrorKind.UNKNOWN_TAG)
            return
        flow.last_segment_at = now
        if self.failed_servers.handle_segment(flow, segment, now):
            return
        self.core.actions.append(SendSegment(flow.server, segment, flow.tag))
        self._flow_opener.handle_caller_segment(flow, segment)
        if flow.phase is FlowPhase.OPEN:
            self._check_flow_end(flow, segment, now)
            self._stalls.watch_request(flow, segment, now)

    def handle_message(self, ip: str, message: Any, now: float) -> None:
        """Handles a message from another instance.

        Args:
            ip: Source address of the message.
            message: Instance of a message class in ``steering_message``.
            now: Current time in seconds.
        """
        if isinstance(message, FleetHeartbeat):
            self._liveness.handle_heartbeat(ip, message, now)
            return
        peer = self.core.fleet.find_peer_by_ip(ip)
        if peer is None:
            self.core.counters.record_refusal(ErrorKind.UNKNOWN_SENDER)
            return
        self.core.fleet.record_activity(peer, now)
        handle = self._handler_by_message_type.get(type(message))
        if handle is None:
            self._placement.handle_message(peer, message, now)
        else:
            handle(peer, message, now)

    def handle_listing(
        self,
        listing: SourceListing,
        is_full_listing: bool,
        now: float,
        confirmed_at: float | None,
        refuted: Position | None = None,
    ) -> None:
        """Applies what was read from the source.

        An answer from before the last known restore of the source is dropped,
        unless it refutes that restore.

        Args:
            listing: What was read.
            is_full_listing: Whether it holds all items.
            now: Current time in seconds.
            confirmed_at: A time up to which the listing is complete; None if it
                may be older than what was known before.
            refuted: Position that was held before the call, if the source has not
                reached it; only with a full listing.
        """
        if refuted is not None:
            self.directory_sync.withdraw_refuted(refuted, listing.position, now)
        is_applied = self.directory_sync.apply_source_changes(listing, is_full_listing, now)
        if is_applied and confirmed_at is not None:
            self._liveness.confirm_source(confirmed_at, now)

    def request_stop(self, now: float) -> None:
        """Starts a planned stop; further calls have no effect."""
        if self._stop_requested_at is not None:
            return
        self._stop_requested_at = now
        fleet = self.core.fleet
        fleet.membership.is_leaving = True
        fleet.refresh(now)
        self.core.log(LogEvent.STOP_REQUESTED, f'flows={len(self.core.flows)}')
        self._liveness.broadcast_heartbeat(now)
        self._placement.send_lease_reports(now)
        self.core.timers.schedule(now + STOP_CHECK_INTERVAL_S, self._check_stop)

    def handle_backlog_end(self) -> None:
        """Notes that the segments that arrived during a pause have been read."""
        self._backlog_until = -math.inf

    def handle_pause(self, paused_s: float, now: float) -> None:
        """Recovers after this process was paused.

        Opening segments that arrived during the pause are dropped: their callers
        have sent them again, through another instance, or have given up.
        """
        self._backlog_until = now + BACKLOG_READ_S
        self.core.counters.record_traffic(Traffic.PAUSES)
        self.core.log(LogEvent.PAUSED, f'seconds={paused_s:.1f}')
        self.core.fleet.membership.reset_peer_timeouts(now)
        self.failed_servers.handle_pause(now)
        # The peers may have declared this instance lost.
        self._liveness.broadcast_heartbeat(now)

    def _handle_opening_segment(self, segment: Segment, now: float, waited_s: float | None) -> None:
        """Handles an opening segment, unless its caller has sent another one since.

        That one may have opened the flow through another instance. Where the wait is
        unknown, all that arrived during a pause of this process is dropped.
        """
        is_superseded = (
            now < self._backlog_until
            if waited_s is None
            else waited_s >= superseded_after_s(segment)
        )
        if is_superseded:
            self.core.counters.record_refusal(ErrorKind.LATE_WAKE)
            return
        self._flow_opener.handle_opening_segment(segment, now, waited_s or 0)
        self._placement.place_waiting_flows(now)

    def _schedule_periodic(
        self, period_s: float, task: Callable[[float], None], now: float
    ) -> None:
        """Runs a task immediately and after each period, also after one that failed."""

        def run(run_at: float) -> None:
            self.core.timers.schedule(run_at + period_s, run)
            task(run_at)

        self.core.timers.schedule(now, run)

    def _confirm_server_by_tag(
        self,
        flow: TrackedFlow | None,
        segment: Segment,
        now: float,
    ) -> TrackedFlow | None:
        """Looks up the server of a flow by a segment's tag and fixes the flow to it.

        The first segment after the opening one carries the tag of the server
        whose answer the caller accepted. A late answer from a second server
        changes only the tag that the caller sends, not the server of the flow.
        """
        core = self.core
        registration = core.directory.find_by_tag(segment.tag, segment.address)
        if registration is None:
            return flow
        if flow is None:
            return self._track_recovered_flow(segment, registration, now)
        is_offered_here = flow.server is not None and flow.server.id == registration.server.id
        if not is_offered_here:
            # The server was offered the flow by another instance, which may not see its end.
            core.counters.record_traffic(Traffic.ANSWERED_ELSEWHERE)
            flow.phase = FlowPhase.OVER
        flow.server = registration.server
        flow.is_server_confirmed = True
        flow.tag = segment.tag
        flow.initial_acknowledged = segment.acknowledged
        if not is_offered_here:
            self._flow_opener.report_flow_end(flow, Outcome.ENDED, now)
        if flow.is_known_elsewhere or not is_offered_here:
            self._flow_opener.tell_other_holders(flow)
        if flow.phase is not FlowPhase.OVER:
            flow.phase = FlowPhase.OPEN
            core.latencies.handshake.observe(now - flow.offered_at)
        core.assigner.lease_table(flow.service).record_answer(registration.server.id, now)
        self._flow_opener.handle_server_known(flow, now)
        return flow

    def _track_recovered_flow(
        self, segment: Segment, registration: ServerRegistration, now: float
    ) -> TrackedFlow:
        """Tracks a flow that another instance opened.

        Its lease is released and its work is no longer counted: the instance
        that opened the flow will not see it end, and a lease that nobody
        releases would keep a slot from other flows.
        """
        core = self.core
        core.counters.record_traffic(Traffic.FLOWS_RECOVERED)
        dispatcher = core.fleet.find_dispatcher(registration.service, now)
        flow = TrackedFlow(
            segment.flow,
            core.directory.find_route(segment.address),
            registration.service,
            None,
            now,
            now,
            dispatcher,
            FlowPhase.OVER,
            registration.server,
            segment.tag,
            is_server_confirmed=True,
        )
        self._flow_opener.tell_other_holders(flow)
        self._flow_opener.report_flow_end(flow, Outcome.ENDED, now)
        return core.flows.add(flow)

    def _check_flow_end(self, flow: TrackedFlow, segment: Segment, now: float) -> None:
        """Reports the end of a flow's work if a segment shows an answer, a close or a reset."""
        is_answered = flow.is_answered_by(segment)
        if not is_answered and not segment.is_reset and not segment.is_closing:
            return
        outcome = Outcome.DONE if is_answered and not segment.is_reset else Outcome.ENDED
        flow.phase = FlowPhase.OVER
        self._flow_opener.report_flow_end(flow, outcome, now)
        self._placement.place_waiting_flows(now)
        self.core.latencies.work.observe(now - flow.offered_at)
        work_ms = round((now - flow.offered_at) * MS_PER_S)
        self.core.log(
            LogEvent.FLOW_ENDED,
            f'{describe_flow(flow, now)} outcome={outcome.name.lower()} '
            f'backend={flow.server.id if flow.server else None} work_ms={work_ms}',
        )

    def _prune_and_report(self, now: float) -> None:
        """Drops ended flows, removed servers and expired leases; reports the open leases."""
        core = self.core
        configuration = core.directory.configuration
        core.flows.prune_expired(
            now, configuration.idle_timeout_s if configuration else DEFAULT_IDLE_TIMEOUT_S
        )
        core.directory.prune_removed_servers(now, core.settings.time_limits.max_flow_s)
        core.assigner.prune(now)
        for line in core.assigner.describe(now):
            core.log(LogEvent.LOAD_COUNTED, line)
        for cold_line in core.cold_servers.report_deferred(now):
            core.log(LogEvent.COLD_RATE_REACHED, cold_line)
        self._placement.send_lease_reports(now)
        self._flow_opener.offer_notifier.prune_expired(now)
        self._flow_opener.offer_notifier.repeat_notices(now)

    def _check_directory_age(self, now: float) -> None:
        """Logs when the directory is older than changes may take, and when it no longer is."""
        age_s = self.core.fleet.membership.confirmation_age_s(now)
        is_stale = age_s is not None and age_s > self.core.settings.time_limits.propagation_s
        if is_stale != self._is_directory_stale:
            self._is_directory_stale = is_stale
            event = LogEvent.DIRECTORY_STALE if is_stale else LogEvent.DIRECTORY_CONFIRMED
            self.core.log(event, self.core.describe_directory(now))

    def _check_stop(self, now: float) -> None:
        started_at = self._stop_requested_at
        if started_at is None:
            return
        is_quiet = now - self._last_segment_at >= STOP_QUIET_S and now - started_at >= MIN_STOP_S
        limit_s = self.core.settings.time_limits.stop_grace_s - STOP_MARGIN_S
        if is_quiet or now - started_at >= limit_s:
            self.core.log(LogEvent.STOPPED, f'seconds={now - started_at:.1f}')
            self.core.actions.append(Stopped())
            return
        self.core.timers.schedule(now + STOP_CHECK_INTERVAL_S, self._check_stop)
