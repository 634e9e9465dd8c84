"""Opens flows: requests a placement and offers the flow to the chosen server.

An offer is an opening segment sent to a server. If no segment of the caller
shows within a timeout that the server has answered, another server is tried.
"""

from collections.abc import Callable

from berylstair.assigner import FRESH_FLOW_MAX_AGE_S, PlacementDecision, PlacementResult
from berylstair.catalogue import LogEvent
from berylstair.cold_offers import ColdOffers
from berylstair.counter import RetryReason, Traffic
from berylstair.directory import Route
from berylstair.errors import ErrorKind
from berylstair.flowlog import describe_flow
from berylstair.flowtrack import FlowPhase, TrackedFlow
from berylstair.ids import BackendId, InstanceId, ServiceName
from berylstair.lease_table import Outcome
from berylstair.offer_notice import OfferNotifier
from berylstair.placement_request import PlacementRequest, deadline_from
from berylstair.record import BackendServer
from berylstair.rendezvous import weighted_rank
from berylstair.segment import SEQUENCE_SPACE, Segment
from berylstair.server_selection import PlacementConstraints
from berylstair.steering_action import ResetCaller, SendSegment
from berylstair.steering_core import SteeringCore
from berylstair.steering_message import (
    PlacementReplyBatch,
    PlacementReplyRow,
    PlacementRequestBatch,
    PlacementRequestRow,
    ReleaseBatch,
    ReleaseRow,
)
from berylstair.tag import pack_tags, tag_of
from berylstair.tag_correction import TagCorrector

__all__ = ['FlowOpener', 'superseded_after_s']

# The dispatching instance answers within a round trip between zones, a few milliseconds,
# plus the wait for its share of a busy processor, which is allotted per tenth of a second.
PLACEMENT_TIMEOUT_S = 0.03
# Interval at which a waiting flow is checked.
WAIT_CHECK_INTERVAL_S = 0.1
# The answer to an offer arrives through the caller within about 10 ms; the rest allows for
# a busy processor on the way.
OFFER_TIMEOUT_S = 0.06
MAX_OFFERS = 3
# Seconds after its first opening segment at which a caller sends it and its retransmissions.
_OPENING_SENT_AFTER_S = (0.0, 0.2, 0.6)
# Seconds from each of them to the next one, or to the end of the attempt.
_SUPERSEDED_AFTER_S = (0.2, 0.4, 0.8)
# Longest delay of a retransmission in transit.
RETRANSMISSION_GRACE_S = 0.06
MS_PER_S = 1000
_SEQUENCE_BYTES = 4
# With at most this many reachable instances, all of them are told of a flow that others may
# have offered too; in a larger fleet the dispatching instance tells the flow's holders.
MAX_RELEASE_BROADCAST_PEERS = 32


class FlowOpener:
    """Finds a server for each new flow whose opening segment this instance receives."""

    def __init__(self, core: SteeringCore) -> None:
        """Creates an opener that works on the state of a steering core."""
        self._core = core
        self._tag_corrector = TagCorrector(core)
        self._cold_offers = ColdOffers(core)
        self.offer_notifier = OfferNotifier(core)
        self._retransmission_handler_by_phase: dict[
            FlowPhase, Callable[[TrackedFlow, Segment, float], None]
        ] = {
            FlowPhase.ASKED: self._drop_retransmission,
            FlowPhase.WAITING: self._renew_placement_request,
            FlowPhase.OFFERED: self._handle_offered_retransmission,
            FlowPhase.OPEN: self._forward_retransmission,
            FlowPhase.OVER: self._handle_late_retransmission,
        }

    def handle_opening_segment(self, segment: Segment, now: float, waited_s: float) -> None:
        """Handles an opening segment or a retransmission of one.

        Args:
            segment: The segment; its caller has not sent another one since.
            now: Current time in seconds.
            waited_s: Seconds since its arrival.
        """
        flow = self._core.flows.get(segment.flow)
        if flow is None or _is_different_flow(flow, segment):
            self._open_flow(segment, now, waited_s)
            return
        flow.last_segment_at = now
        flow.retransmission_count = max(flow.retransmission_count, segment.acknowledged)
        flow.superseded_at = now - waited_s + superseded_after_s(segment)
        if flow.opening_segment is None:
            flow.opening_segment = segment
        self._retransmission_handler_by_phase[flow.phase](flow, segment, now)

    def handle_decision(
        self,
        flow: TrackedFlow,
        decision: PlacementDecision,
        server: BackendServer | None,
        detail: str,
        now: float,
    ) -> None:
        """Carries out a placement decision: offers the flow, lets it wait or refuses it."""
        if decision is PlacementDecision.PLACED and server is not None:
            self._offer_flow(flow, server, detail, now)
        elif decision is PlacementDecision.WAITING:
            flow.phase = FlowPhase.WAITING
            self._core.timers.schedule(
                now + WAIT_CHECK_INTERVAL_S, lambda at: self._check_wait(flow, at)
            )
            if not flow.has_waited:
                flow.has_waited = True
                self._core.log(LogEvent.FLOW_WAITING, f'{describe_flow(flow, now)} {detail}')
        else:
            self._refuse(flow, ErrorKind.OVERLOADED, detail, now)

    def deliver_result(self, placement: PlacementResult, now: float) -> None:
        """Delivers a decision of this instance to the instance that holds the flow."""
        request = placement.request
        if request.holder != self._core.fleet.own_id:
            reply = PlacementReplyRow(
                request.flow,
                request.service,
                placement.decision,
                placement.server.id if placement.server else '',
                placement.lease_count,
                placement.cold_age_ms(now),
            )
            self._core.add_row(PlacementReplyBatch, request.holder, reply)
            return
        flow = self._core.flows.get(request.flow)
        if flow is None or flow.phase not in {FlowPhase.ASKED, FlowPhase.WAITING}:
            self._core.assigner.release(request.service, request.flow, Outcome.ENDED, now)
            return
        if placement.server is not None and placement.is_cold:
            self._cold_offers.record_offer(flow, placement.server, now)
        detail = f'by=self leases={placement.lease_count}'
        self.handle_decision(flow, placement.decision, placement.server, detail, now)

    def report_flow_end(self, flow: TrackedFlow, outcome: Outcome, now: float) -> None:
        """Reports the end of a flow's work to the instances that count its lease.

        If the flow is open at a known server, the instances that may have offered it to
        another one are told as well.
        """
        core = self._core
        tag = flow.tag if flow.is_server_confirmed else 0
        core.assigner.release(flow.service, flow.key, outcome, now, tag)
        peers = {core.fleet.find_dispatcher(flow.service, now), flow.dispatcher}
        if tag:
            peers |= core.assigner.lease_table(flow.service).holders_of_released(flow.key)
            peers |= self.offer_notifier.take_holders(flow.key)
            if flow.may_be_offered_elsewhere:
                peers.update(self.offer_notifier.first_ranked(flow.service))
        row = ReleaseRow(flow.key, flow.service, outcome, tag)
        for peer in peers - {core.fleet.own_id}:
            core.add_row(ReleaseBatch, peer, row)

    def tell_other_holders(self, flow: TrackedFlow) -> None:
        """Tells the reachable instances of a small fleet at which server a flow is open.

        Some of them may have offered the flow to another server. In a larger fleet
        the dispatching instance knows which ones. It is told once the work has ended.
        """
        reachable = self._core.fleet.membership.reachable
        if len(reachable) > MAX_RELEASE_BROADCAST_PEERS:
            return
        row = ReleaseRow(flow.key, flow.service, Outcome.ENDED, flow.tag)
        for peer in reachable - {flow.dispatcher}:
            self._core.add_row(ReleaseBatch, peer, row)

    def handle_server_known(self, flow: TrackedFlow, now: float) -> None:
        """Begins to correct the tags of servers that were offered an open flow in vain."""
        self._tag_corrector.start(flow, now)

    def handle_caller_segment(self, flow: TrackedFlow, segment: Segment) -> None:
        """Goes on with the corrections while the caller uses the flow."""
        if flow.copies_left and not segment.is_closing:
            self._tag_corrector.send_copies(flow)

    def handle_release(self, flow: TrackedFlow, tag: int, now: float) -> None:
        """Handles the news that a flow of this instance has ended or continues elsewhere.

        Args:
            flow: The flow.
            tag: Tag of the server at which it is open, 0 if not known.
            now: Current time in seconds.
        """
        if tag or flow.phase in {FlowPhase.OFFERED, FlowPhase.OPEN}:
            flow.phase = FlowPhase.OVER
        if not tag or flow.is_server_confirmed:
            return
        registration = self._core.directory.find_by_tag(tag, flow.address)
        if registration is not None:
            flow.server = registration.server
            flow.tag = tag
            flow.is_server_confirmed = True
            self._tag_corrector.start(flow, now)
            self._tag_corrector.send_copies(flow)

    def place_locally(self, flow: TrackedFlow, now: float) -> None:
        """Places a flow without asking the dispatching instance."""
        self._request_placement(flow, self._core.fleet.own_id, now)

    def _drop_retransmission(self, _flow: TrackedFlow, _segment: Segment, _now: float) -> None:
        self._core.counters.record_traffic(Traffic.DUPLICATES_ABSORBED)

    def _handle_late_retransmission(self, flow: TrackedFlow, segment: Segment, now: float) -> None:
        """Repeats the reset of a refused flow, whose caller has not received the first one.

        A flow that was given up before any offer begins anew: the opening segment that
        should have come before this one was lost.
        """
        if flow.has_sent_reset:
            self._core.counters.record_retry(RetryReason.RESET_REPEATED)
            self._reset_caller(flow)
        elif flow.offered or flow.is_server_confirmed:
            self._drop_retransmission(flow, segment, now)
        else:
            self._open_flow(segment, now, 0)

    def _renew_placement_request(self, flow: TrackedFlow, _segment: Segment, now: float) -> None:
        """Tells the dispatching instance that the caller still waits."""
        self._request_placement(flow, self._core.fleet.find_dispatcher(flow.service, now), now)

    def _handle_offered_retransmission(
        self, flow: TrackedFlow, segment: Segment, now: float
    ) -> None:
        needs_grant = self._cold_offers.needs_grant(flow, now)
        if needs_grant and now - flow.offered_at < OFFER_TIMEOUT_S:
            self._drop_retransmission(flow, segment, now)
        elif needs_grant or flow.offer_count >= MAX_OFFERS:
            self._request_another_server(flow, now)
        else:
            self._forward_retransmission(flow, segment, now)

    def _forward_retransmission(self, flow: TrackedFlow, segment: Segment, now: float) -> None:
        """Forwards a retransmission to the flow's server, unless its zone is evacuated.

        A flow that the server has not answered is then placed again. An open one has no
        use for the retransmission. A cold server gets none without a grant.
        """
        if flow.server is None:
            return
        if self._cold_offers.needs_grant(flow, now):
            self._drop_retransmission(flow, segment, now)
        elif self._core.directory.may_open_at(flow.server):
            self._core.actions.append(SendSegment(flow.server, segment, flow.tag))
        elif flow.phase is FlowPhase.OFFERED:
            self._request_another_server(flow, now)
        else:
            self._drop_retransmission(flow, segment, now)

    def _open_flow(self, segment: Segment, now: float, waited_s: float) -> None:
        core = self._core
        route = core.directory.find_route(segment.address)
        retransmission_count = _count_copies(segment)
        arrived_at = now - waited_s - _OPENING_SENT_AFTER_S[retransmission_count]
        service = _choose_service(route, segment) if route else ServiceName('')
        flow = TrackedFlow(
            segment.flow, route, service, segment, arrived_at, now, core.fleet.own_id
        )
        if core.directory.configuration is None:
            core.counters.record_refusal(ErrorKind.VIEW_EXPIRED)
            return
        flow.retransmission_count = retransmission_count
        flow.is_known_elsewhere = retransmission_count > 0
        flow.superseded_at = now - waited_s + superseded_after_s(segment)
        core.flows.add(flow)
        if route is None:
            self._refuse(flow, ErrorKind.NO_SUCH_SERVICE, f'address={segment.address}', now)
            return
        self._request_placement(flow, core.fleet.find_dispatcher(service, now), now)

    def _request_placement(self, flow: TrackedFlow, dispatcher: InstanceId, now: float) -> None:
        core = self._core
        flow.phase = FlowPhase.ASKED
        flow.dispatcher = dispatcher
        flow.placement_requested_at = now
        request = self._make_placement_request(flow)
        if dispatcher == core.fleet.own_id:
            self.deliver_result(core.assigner.place(request, now), now)
            return
        row = PlacementRequestRow(
            request.flow,
            request.service,
            request.constraints.route_name,
            round((now - request.arrived_at) * MS_PER_S),
            round((now - request.last_opening_at) * MS_PER_S),
            round(request.latency_target_s * MS_PER_S),
            request.priority,
            round(flow.route.timeout_s * MS_PER_S) if flow.route else 0,
            pack_tags(request.constraints.excluded),
        )
        core.add_row(PlacementRequestBatch, dispatcher, row)
        core.timers.schedule(
            now + PLACEMENT_TIMEOUT_S, lambda at: self._handle_placement_timeout(flow, now, at)
        )

    def _make_placement_request(self, flow: TrackedFlow) -> PlacementRequest:
        route = flow.route
        return PlacementRequest(
            flow.key,
            flow.service,
            self._core.fleet.own_id,
            PlacementConstraints(self._core.settings.zone, flow.route_name, flow.excluded),
            flow.arrived_at,
            flow.last_segment_at,
            route.latency_target_s if route else 0,
            route.priority if route else 0,
            deadline_from(route.timeout_s if route else 0),
        )

    def _handle_placement_timeout(self, flow: TrackedFlow, requested_at: float, now: float) -> None:
        """Places the flow locally if the dispatching instance has not answered."""
        if flow.phase is not FlowPhase.ASKED or flow.placement_requested_at != requested_at:
            return
        core = self._core
        core.fleet.dispatcher_ranking.record_timeout(flow.dispatcher, now)
        core.counters.record_retry(RetryReason.ASK_UNANSWERED)
        core.log(
            LogEvent.DISPATCHER_SILENT,
            f'{describe_flow(flow, now)} dispatcher={flow.dispatcher}',
        )
        self._request_placement(flow, core.fleet.own_id, now)

    def _check_wait(self, flow: TrackedFlow, now: float) -> None:
        """Ends the wait if the caller has given up; otherwise requests the placement again.

        Another instance may dispatch for the service by now, and a decision may be lost.
        """
        if flow.phase is not FlowPhase.WAITING:
            return
        if _has_caller_given_up(flow, now):
            flow.phase = FlowPhase.OVER
            self._core.counters.record_refusal(ErrorKind.QUEUE_EXPIRED)
            self._core.log(
                LogEvent.CALLER_GONE,
                f'{describe_flow(flow, now)} copies={flow.retransmission_count}',
            )
            self.report_flow_end(flow, Outcome.ENDED, now)
            return
        self._request_placement(flow, self._core.fleet.find_dispatcher(flow.service, now), now)

    def _offer_flow(
        self, flow: TrackedFlow, server: BackendServer, detail: str, now: float
    ) -> None:
        core = self._core
        if flow.opening_segment is None:
            return
        if now > flow.superseded_at + RETRANSMISSION_GRACE_S:
            # The caller has sent its segment again, through another instance, or has given up.
            flow.phase = FlowPhase.OVER
            core.counters.record_refusal(ErrorKind.LATE_WAKE)
            self.report_flow_end(flow, Outcome.ENDED, now)
            return
        flow.phase = FlowPhase.OFFERED
        if all(offered.id != server.id for offered in flow.offered):
            flow.offered = (*flow.offered, server)
        flow.server = server
        flow.tag = tag_of(server.id)
        flow.offered_at = now
        flow.offer_count += 1
        if flow.offer_count == 1:
            core.latencies.decision.observe(now - flow.arrived_at)
        core.counters.record_traffic(Traffic.FLOWS_BOUND)
        core.actions.append(SendSegment(server, flow.opening_segment, flow.tag))
        self.offer_notifier.notify_offer(flow)
        core.timers.schedule(
            now + OFFER_TIMEOUT_S, lambda at: self._handle_offer_timeout(flow, now, at)
        )
        core.log(
            LogEvent.FLOW_PLACED,
            f'{describe_flow(flow, now)} backend={server.id} zone={server.zone} {detail} '
            f'{core.describe_directory(now)}',
        )

    def _handle_offer_timeout(self, flow: TrackedFlow, offered_at: float, now: float) -> None:
        is_answered = flow.phase is not FlowPhase.OFFERED or flow.offered_at != offered_at
        if is_answered or flow.server is None:
            return
        core = self._core
        core.counters.record_retry(RetryReason.OFFER_UNANSWERED)
        core.log(
            LogEvent.OFFER_UNANSWERED,
            f'{describe_flow(flow, now)} backend={flow.server.id} offers={flow.offer_count}',
        )
        is_stale = now - flow.arrived_at > FRESH_FLOW_MAX_AGE_S
        if is_stale or flow.offer_count >= MAX_OFFERS:
            self.report_flow_end(flow, Outcome.ENDED if is_stale else Outcome.SILENT, now)
        else:
            self._request_another_server(flow, now)

    def _request_another_server(self, flow: TrackedFlow, now: float) -> None:
        """Requests another server, or confirmation that the current one is alive."""
        if flow.server is None:
            return
        flow.offer_count %= MAX_OFFERS
        flow.excluded = (*flow.excluded, BackendId(flow.server.id))
        self._request_placement(flow, self._core.fleet.find_dispatcher(flow.service, now), now)

    def _refuse(self, flow: TrackedFlow, kind: ErrorKind, detail: str, now: float) -> None:
        """Refuses a flow; resets the caller unless a server may have opened the flow."""
        core = self._core
        flow.phase = FlowPhase.OVER
        core.counters.record_refusal(kind)
        core.log(
            LogEvent.FLOW_REFUSED,
            f'{describe_flow(flow, now)} reason={kind.value} {detail} '
            f'{core.describe_directory(now)}',
        )
        if flow.offer_count == 0 and not flow.excluded:
            self._reset_caller(flow)

    def _reset_caller(self, flow: TrackedFlow) -> None:
        if flow.opening_segment is not None:
            flow.has_sent_reset = True
            sequence = self._core.rng.randrange(SEQUENCE_SPACE)
            self._core.actions.append(ResetCaller(flow.opening_segment, sequence))


def superseded_after_s(opening: Segment) -> float:
    """Returns how long after an opening segment its caller sends the next one or gives up."""
    return _SUPERSEDED_AFTER_S[_count_copies(opening)]


def _count_copies(opening: Segment) -> int:
    return min(opening.acknowledged, len(_OPENING_SENT_AFTER_S) - 1)


def _has_caller_given_up(flow: TrackedFlow, now: float) -> bool:
    """Returns whether a retransmission that the caller should have sent is missing."""
    age_s = now - flow.arrived_at - RETRANSMISSION_GRACE_S
    return any(
        age_s > sent_after_s and flow.retransmission_count < retransmission_count
        for retransmission_count, sent_after_s in enumerate(_OPENING_SENT_AFTER_S)
    )


def _is_different_flow(flow: TrackedFlow, segment: Segment) -> bool:
    opening = flow.opening_segment
    return opening is not None and opening.sequence != segment.sequence


def _choose_service(route: Route, segment: Segment) -> ServiceName:
    """Returns the service of a new flow; every instance chooses the same one."""
    services = tuple(route.weight_by_service)
    if len(services) == 1:
        return services[0]
    key = segment.flow + segment.sequence.to_bytes(_SEQUENCE_BYTES, 'big')
    return ServiceName(weighted_rank(key, services, tuple(route.weight_by_service.values()))[0])
