"""Finds flows whose requests stay unanswered, from the callers' segments alone.

The load: long-lived flows that carry many requests with pauses between them. A caller
repeats an unanswered request 0.2 s and 0.6 s after it and then ever more slowly; its
acknowledgement number shows whether anything came back.
"""

import math
from enum import Enum, unique
from typing import NamedTuple

from berylstair.ids import FlowKey
from berylstair.segment import SEQUENCE_SPACE, Segment
from berylstair.server_death import EVIDENCE_RETENTION_S, ServerLifetime

__all__ = ['FlowNews', 'ReportBudget', 'StallTracker']

# The second retransmission, 0.6 s after the request, finds the flow stalled: requests that
# meet the latency target, 606 ms, are answered by then.
STALL_S = 0.5
# The first and the second retransmission are 0.4 s apart; copies that arrive closer together
# have waited on the way.
MIN_REPETITION_S = 0.3
# Reports of stalled flows per second, about 60 bytes each, for one server and in all.
MAX_REPORTS_PER_SERVER = 4
MAX_REPORTS_PER_S = 40
_HALF_SEQUENCE_SPACE = SEQUENCE_SPACE // 2


@unique
class FlowNews(Enum):
    """What a segment shows about its flow's server."""

    NOTHING = 'nothing'
    PROGRESS = 'progress'
    STALLED = 'stalled'


class _PendingRequest(NamedTuple):
    """Data of a caller that nothing has answered yet.

    Attributes:
        segment: The first copy of it.
        forwarded_at: When this instance forwarded that copy. A copy that waited in a
            paused process has not reached the server before.
        repeated_at: When it forwarded the second copy, infinite before. An answer to
            another flow before that time, which may have been under way when the server
            crashed, does not show that this copy reached a live server.
    """

    server: ServerLifetime
    segment: Segment
    forwarded_at: float
    repeated_at: float = math.inf

    @property
    def silent_since(self) -> float:
        """Since when progress of any flow would show that the server is alive."""
        return self.forwarded_at if math.isinf(self.repeated_at) else self.repeated_at


class StallTracker:
    """Tracks the unanswered requests of the flows whose segments pass through an instance."""

    def __init__(self) -> None:
        """Starts without flows."""
        self._pending_by_flow: dict[FlowKey, _PendingRequest] = {}
        self._progress_at_by_server: dict[ServerLifetime, float] = {}

    def __len__(self) -> int:
        """Returns the number of unanswered requests."""
        return len(self._pending_by_flow)

    def observe(self, server: ServerLifetime, segment: Segment, now: float) -> FlowNews:
        """Observes a segment of an open flow.

        Args:
            server: Server of the flow.
            segment: The segment, not an opening one.
            now: Current time in seconds.
        """
        held = self._pending_by_flow.get(segment.flow)
        news = FlowNews.NOTHING
        if held is not None and _is_answered(held, segment):
            self._pending_by_flow.pop(segment.flow)
            self._progress_at_by_server[held.server] = now
            news = FlowNews.PROGRESS
            held = None
        if segment.is_closing or segment.is_reset:
            self.forget(segment.flow)
            return news
        if not segment.data_length:
            return news
        if held is None or held.server != server:
            self._pending_by_flow[segment.flow] = _PendingRequest(server, segment, now)
            return news
        if held.segment.sequence == segment.sequence:
            return self._observe_repetition(held, now)
        return news

    def silent_since(self, flow: FlowKey) -> float:
        """Returns since when a stalled flow shows that its server is silent, in seconds."""
        return self._pending_by_flow[flow].silent_since

    def progress_at(self, server: ServerLifetime) -> float:
        """Returns when a flow of a server last showed progress here, in seconds."""
        return self._progress_at_by_server.get(server, -math.inf)

    def take_pending(self, server: ServerLifetime) -> list[Segment]:
        """Removes and returns the unanswered requests at a server."""
        taken = {
            flow: pending.segment
            for flow, pending in self._pending_by_flow.items()
            if pending.server == server
        }
        for flow in taken:
            self._pending_by_flow.pop(flow)
        return list(taken.values())

    def forget(self, flow: FlowKey) -> None:
        """Drops the unanswered request of a flow."""
        self._pending_by_flow.pop(flow, None)

    def clear(self) -> None:
        """Drops all unanswered requests, as after a pause in which answers were missed."""
        self._pending_by_flow.clear()

    def prune(self, now: float) -> None:
        """Drops requests that their callers have given up, and old progress."""
        oldest = now - EVIDENCE_RETENTION_S
        self._pending_by_flow = {
            flow: pending
            for flow, pending in self._pending_by_flow.items()
            if pending.forwarded_at > oldest
        }
        self._progress_at_by_server = {
            server: at
            for server, at in self._progress_at_by_server.items()
            if at > oldest - EVIDENCE_RETENTION_S
        }

    def _observe_repetition(self, held: _PendingRequest, now: float) -> FlowNews:
        if now - held.forwarded_at < STALL_S:
            if math.isinf(held.repeated_at):
                self._pending_by_flow[held.segment.flow] = held._replace(repeated_at=now)
            return FlowNews.NOTHING
        is_stalled = now - held.silent_since >= MIN_REPETITION_S
        return FlowNews.STALLED if is_stalled else FlowNews.NOTHING


class ReportBudget:
    """Limits how many stalled flows an instance reports in a second."""

    def __init__(self) -> None:
        """Starts with the whole budget."""
        self._second = -math.inf
        self._count = 0
        self._count_by_server: dict[ServerLifetime, int] = {}

    def take(self, server: ServerLifetime, now: float) -> bool:
        """Counts a report at a time in seconds and returns whether it is within the limits."""
        if now - self._second >= 1:
            self._second = now
            self._count = 0
            self._count_by_server = {}
        count = self._count_by_server.get(server, 0)
        if count >= MAX_REPORTS_PER_SERVER or self._count >= MAX_REPORTS_PER_S:
            return False
        self._count += 1
        self._count_by_server[server] = count + 1
        return True


def _is_answered(held: _PendingRequest, segment: Segment) -> bool:
    """Returns whether a segment acknowledges more than the request that is held."""
    advanced = (segment.acknowledged - held.segment.acknowledged) % SEQUENCE_SPACE
    return 0 < advanced < _HALF_SEQUENCE_SPACE
