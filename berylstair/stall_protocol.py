"""Reports of requests without progress, from the holder of a flow to the dispatching instance."""

from collections.abc import Callable

from berylstair.catalogue import LogEvent
from berylstair.counter import Traffic
from berylstair.flowtrack import FlowPhase, TrackedFlow
from berylstair.ids import BackendId, FlowKey, InstanceId, ServiceName
from berylstair.request_progress import StalledRequest, stall_timeout_s
from berylstair.segment import Segment
from berylstair.steering_core import SteeringCore
from berylstair.steering_message import StalledRequestBatch, StalledRequestRow

__all__ = ['StallProtocol']

# Reports of one stalled request; the second one is for the case that the first is lost.
REPORTS_PER_REQUEST = 2
MS_PER_S = 1000


class StallProtocol:
    """Both ends: watches the flows of this instance, and counts what others report."""

    def __init__(self, core: SteeringCore) -> None:
        """Creates both ends on the state of a steering core."""
        self._core = core

    def watch_request(self, flow: TrackedFlow, segment: Segment, now: float) -> None:
        """Begins to watch the first request of an open flow; further ones are not watched."""
        if flow.request_sent_at is None and segment.data_length:
            flow.request_sent_at = now
            self._schedule_check(flow, REPORTS_PER_REQUEST, now)

    def handle_batch(self, _peer: InstanceId, batch: StalledRequestBatch, now: float) -> None:
        """Counts the stalled requests that another instance reports."""
        for row in batch.rows:
            sent_at = now - max(row.age_ms, 0) / MS_PER_S
            request = StalledRequest(
                FlowKey(row.flow), BackendId(row.backend), row.route_name, sent_at
            )
            self._record(ServiceName(row.service), request, now)

    def _schedule_check(self, flow: TrackedFlow, reports_left: int, now: float) -> None:
        table = self._core.assigner.lease_table(flow.service)
        timeout_s = stall_timeout_s(table.mean_work_s(flow.route_name))
        self._core.timers.schedule(now + timeout_s, self._make_check(flow, reports_left))

    def _make_check(self, flow: TrackedFlow, reports_left: int) -> Callable[[float], None]:
        return lambda at: self._check_progress(flow, reports_left, at)

    def _check_progress(self, flow: TrackedFlow, reports_left: int, now: float) -> None:
        """Reports a flow whose request shows no progress."""
        core = self._core
        is_open = flow.phase is FlowPhase.OPEN and core.flows.get(flow.key) is flow
        if not is_open or flow.server is None or flow.request_sent_at is None:
            return
        if not flow.has_stalled:
            flow.has_stalled = True
            core.counters.record_traffic(Traffic.REQUESTS_STALLED)
        request = StalledRequest(flow.key, flow.server.id, flow.route_name, flow.request_sent_at)
        self._record(flow.service, request, now)
        row = StalledRequestRow(
            flow.key,
            flow.service,
            request.backend,
            request.route_name,
            round((now - request.sent_at) * MS_PER_S),
        )
        peers = {core.fleet.find_dispatcher(flow.service, now), flow.dispatcher}
        for peer in peers - {core.fleet.own_id}:
            core.add_row(StalledRequestBatch, peer, row)
        if reports_left > 1:
            self._schedule_check(flow, reports_left - 1, now)

    def _record(self, service: ServiceName, request: StalledRequest, now: float) -> None:
        if self._core.assigner.record_stalled_request(service, request, now):
            self._core.log(
                LogEvent.SERVER_SET_ASIDE, f'service={service} backend={request.backend}'
            )
