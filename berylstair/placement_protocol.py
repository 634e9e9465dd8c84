"""Placement protocol between the instances that hold flows and the dispatching instance."""

from collections.abc import Callable, Mapping
from typing import Any

from berylstair.assigner import PlacementDecision
from berylstair.cold_offers import ColdOffers
from berylstair.errors import ErrorKind
from berylstair.flow_opener import FlowOpener
from berylstair.flowtrack import FlowPhase
from berylstair.ids import BackendId, FlowKey, InstanceId, ServiceName
from berylstair.lease_table import MAX_LEASE_S, Lease, Outcome
from berylstair.placement_request import PlacementRequest, deadline_from
from berylstair.record import BackendServer
from berylstair.server_selection import PlacementConstraints
from berylstair.steering_core import SteeringCore
from berylstair.steering_message import (
    LeaseReport,
    LeaseRow,
    OfferNoticeBatch,
    PlacementReplyBatch,
    PlacementReplyRow,
    PlacementRequestBatch,
    PlacementRequestRow,
    ReleaseBatch,
    ReleaseRow,
)
from berylstair.tag import tag_of, unpack_tags

__all__ = ['PlacementProtocol']

# Interval at which placing waiting flows is retried, as expired leases free slots meanwhile.
WAITING_RETRY_INTERVAL_S = 0.02
MS_PER_S = 1000


class PlacementProtocol:
    """Both ends of the placement protocol: answers requests and handles replies."""

    def __init__(self, core: SteeringCore, flow_opener: FlowOpener) -> None:
        """Creates both ends on the state of a steering core.

        Args:
            core: State shared with the other parts.
            flow_opener: Carries out decisions on flows that this instance holds.
        """
        self._core = core
        self._flow_opener = flow_opener
        self._cold_offers = ColdOffers(core)
        self._reported_services: set[ServiceName] = set()
        self._is_retry_scheduled = False
        self._handler_by_message_type = self._message_handlers()

    def handle_message(self, peer: InstanceId, message: Any, now: float) -> None:
        """Handles a message from another instance."""
        handle = self._handler_by_message_type.get(type(message))
        if handle is None:
            self._core.counters.record_refusal(ErrorKind.MALFORMED_MESSAGE)
            return
        handle(peer, message, now)

    def place_waiting_flows(self, now: float) -> None:
        """Places waiting flows in slots that became free; retries periodically while flows wait."""
        assigner = self._core.assigner
        if not assigner.waiting_count:
            return
        for placement in assigner.place_waiting_flows(now):
            self._flow_opener.deliver_result(placement, now)
        if not self._is_retry_scheduled:
            self._is_retry_scheduled = True
            self._core.timers.schedule(now + WAITING_RETRY_INTERVAL_S, self._retry_waiting_flows)

    def send_lease_reports(self, now: float) -> None:
        """Reports to the dispatching instances which flows are open here."""
        core = self._core
        rows_by_service: dict[ServiceName, list[LeaseRow]] = {
            name: [] for name in self._reported_services
        }
        for flow in core.flows:
            is_held = (
                flow.phase in {FlowPhase.OFFERED, FlowPhase.OPEN}
                and flow.opening_segment is not None
            )
            if is_held and flow.server is not None and now - flow.offered_at < MAX_LEASE_S:
                age_ms = round((now - flow.offered_at) * MS_PER_S)
                row = LeaseRow(flow.key, flow.server.id, flow.route_name, age_ms)
                rows_by_service.setdefault(flow.service, []).append(row)
        self._reported_services = {service for service, rows in rows_by_service.items() if rows}
        for service, rows in rows_by_service.items():
            dispatcher = core.fleet.find_dispatcher(service, now)
            if dispatcher != core.fleet.own_id:
                core.send(dispatcher, LeaseReport(service, tuple(rows)))

    def _retry_waiting_flows(self, now: float) -> None:
        self._is_retry_scheduled = False
        self.place_waiting_flows(now)

    def _message_handlers(self) -> Mapping[type[Any], Callable[[InstanceId, Any, float], None]]:
        return {
            PlacementRequestBatch: self._handle_placement_requests,
            PlacementReplyBatch: self._handle_placement_replies,
            ReleaseBatch: self._handle_releases,
            LeaseReport: self._handle_lease_report,
            OfferNoticeBatch: self._flow_opener.offer_notifier.handle_notices,
        }

    def _handle_placement_requests(
        self, peer: InstanceId, batch: PlacementRequestBatch, now: float
    ) -> None:
        for row in batch.rows:
            placement = self._core.assigner.place(
                self._decode_placement_request(peer, row, now), now
            )
            self._flow_opener.deliver_result(placement, now)
        self.place_waiting_flows(now)

    def _decode_placement_request(
        self, peer: InstanceId, row: PlacementRequestRow, now: float
    ) -> PlacementRequest:
        membership = self._core.fleet.membership
        sender = membership.peer_by_id.get(peer)
        service = ServiceName(row.service)
        excluded = self._find_tagged_servers(row.excluded, service, now) if row.excluded else ()
        return PlacementRequest(
            FlowKey(row.flow),
            service,
            peer,
            PlacementConstraints(
                sender.zone if sender else self._core.settings.zone, row.route_name, excluded
            ),
            now - max(row.waited_ms, 0) / MS_PER_S,
            now - max(row.since_last_opening_ms, 0) / MS_PER_S,
            row.latency_target_ms / MS_PER_S,
            row.priority,
            deadline_from(row.deadline_ms / MS_PER_S),
        )

    def _find_tagged_servers(
        self, tags: bytes, service: ServiceName, now: float
    ) -> tuple[BackendId, ...]:
        """Returns the servers of a service whose tags are in ``tags``, 4 bytes each."""
        excluded_tags = unpack_tags(tags)
        accepting = self._core.directory.accepting_servers(service, now)
        return tuple(server.id for server in accepting if tag_of(server.id) in excluded_tags)

    def _handle_placement_replies(
        self, peer: InstanceId, batch: PlacementReplyBatch, now: float
    ) -> None:
        self._core.fleet.dispatcher_ranking.record_answer(peer)
        for row in batch.rows:
            self._handle_placement_reply(peer, row, now)

    def _handle_placement_reply(self, peer: InstanceId, row: PlacementReplyRow, now: float) -> None:
        flow = self._core.flows.get(FlowKey(row.flow))
        is_awaited = flow is not None and flow.phase in {FlowPhase.ASKED, FlowPhase.WAITING}
        if flow is None or not is_awaited or flow.dispatcher != peer:
            if row.decision == PlacementDecision.PLACED:
                release = ReleaseRow(row.flow, row.service, Outcome.ENDED)
                self._core.add_row(ReleaseBatch, peer, release)
            return
        server = self._find_server(flow.service, row.backend, now)
        is_usable = server is not None and self._cold_offers.accept_grant(
            flow, server, row.cold_age_ms, now
        )
        if row.decision == PlacementDecision.PLACED and not is_usable:
            # The peer's directory is newer or older than ours, or its grant is late: place
            # the flow locally.
            self._flow_opener.place_locally(flow, now)
            return
        if server is not None:
            lease = self._make_lease(
                flow.key, server.id, flow.route_name, self._core.fleet.own_id, now, 0
            )
            lease.is_queued = row.lease_count >= server.slots
            self._core.assigner.add_lease(flow.service, lease, now)
        if flow.phase is FlowPhase.WAITING and row.decision == PlacementDecision.WAITING:
            return
        detail = f'by={peer} leases={row.lease_count}'
        self._flow_opener.handle_decision(flow, row.decision, server, detail, now)

    def _find_server(self, service: ServiceName, backend: str, now: float) -> BackendServer | None:
        accepting = self._core.directory.accepting_servers(service, now)
        return next((server for server in accepting if server.id == backend), None)

    def _handle_releases(self, peer: InstanceId, batch: ReleaseBatch, now: float) -> None:
        core = self._core
        for row in batch.rows:
            flow = core.flows.get(FlowKey(row.flow))
            if flow is not None:
                if flow.is_server_confirmed and not row.tag:
                    # Another holder has given up a flow that is open through this instance.
                    answer = row._replace(outcome=Outcome.ENDED, tag=flow.tag)
                    core.add_row(ReleaseBatch, peer, answer)
                self._flow_opener.handle_release(flow, row.tag, now)
            for holder in self._release(row, now) - {peer, core.fleet.own_id}:
                core.add_row(ReleaseBatch, holder, row)
        self.place_waiting_flows(now)

    def _release(self, row: ReleaseRow, now: float) -> set[InstanceId]:
        """Releases the lease of a flow and returns the holders that are to be told.

        They are told of the end of the lease, and once of the server of the flow.
        """
        service = ServiceName(row.service)
        flow = FlowKey(row.flow)
        table = self._core.assigner.lease_table(service)
        is_server_news = bool(row.tag) and not table.tag_of_released(flow)
        lease = self._core.assigner.release(service, flow, row.outcome, now, row.tag)
        holders = lease.all_holders() if lease else set()
        if is_server_news:
            holders |= table.holders_of_released(flow)
        if row.tag:
            holders |= self._flow_opener.offer_notifier.take_holders(flow)
        return holders

    def _handle_lease_report(self, peer: InstanceId, report: LeaseReport, now: float) -> None:
        leases = [
            self._make_lease(
                FlowKey(row.flow),
                BackendId(row.backend),
                row.route_name,
                peer,
                now,
                max(row.age_ms, 0) / MS_PER_S,
            )
            for row in report.rows
        ]
        table = self._core.assigner.lease_table(ServiceName(report.service))
        for released_flow in table.apply_report(peer, leases, now):
            tag = table.tag_of_released(released_flow)
            row = ReleaseRow(released_flow, report.service, Outcome.ENDED, tag)
            self._core.add_row(ReleaseBatch, peer, row)

    def _make_lease(
        self,
        key: FlowKey,
        backend: BackendId,
        route_name: str,
        holder: InstanceId,
        now: float,
        age_s: float,
    ) -> Lease:
        lease = Lease(key, backend, route_name, holder, now - age_s)
        lease.is_queued = True
        return lease
