"""Servers that open flows and answer no request.

Load pattern: a server accepts flows and its liveness check succeeds, but none of its
requests is answered. It looks free whenever its leases expire, so that it goes on to
get flows, and each of them is lost. Two stalled requests in a row, with none finished
in between, set such a server aside; then one flow per period probes it.
"""

import math
from collections.abc import Collection
from dataclasses import dataclass
from typing import NamedTuple

from berylstair.ids import BackendId, FlowKey

__all__ = [
    'RequestProgress',
    'StalledRequest',
    'limit_set_aside',
    'min_stall_s',
    'stall_timeout_s',
]

# A straggler takes up to six times the mean work time.
STRAGGLER_WORK_RATIO = 6
# Callers send a request again after this time, so a request or an answer that was lost
# once takes as much longer.
RETRANSMISSION_S = 0.2
# The holder of a flow waits for one more mean work time, since its mean is that of its own
# flows and may be below the one of the dispatching instance.
HOLDER_WORK_RATIO = STRAGGLER_WORK_RATIO + 1
# One stalled request may be an exceptional one.
SET_ASIDE_AFTER_STALLS = 2
# A probe that fails costs a caller its request, unlike an unanswered offer, which is repeated
# at another server. The first period exceeds the time in which a probe fails. The longest one
# bounds how long the slots of recovered servers are missed: under overload, callers are
# refused for want of them.
FIRST_PERIOD_S = 1.0
MAX_PERIOD_S = 2.0
# Stalled flows remembered, so that a repeated report is not counted again.
_REMEMBERED_FLOWS = 8
# At most one in this many servers of a service is set aside. If more have stalled, the cause
# is elsewhere: load, or the instances' own links.
_SERVERS_PER_SET_ASIDE = 3


class StalledRequest(NamedTuple):
    """A flow that opened and whose first request shows no progress.

    Attributes:
        route_name: Name of the flow's route, which gives the usual work time.
        sent_at: When the request was forwarded to the server.
    """

    flow: FlowKey
    backend: BackendId
    route_name: str
    sent_at: float


@dataclass(slots=True)
class RequestProgress:
    """Whether one server answers requests.

    Attributes:
        stalled_flows: Flows whose request has stalled since the last one that finished.
        last_finished_at: When the server last finished a request.
        set_aside_at: When it was set aside.
        failed_probes: Requests that stalled although they were sent after that.
        avoided_until: End of the period in which it gets no further flow.
        is_excused: Whether too many servers have stalled for a cause in the servers.
    """

    stalled_flows: tuple[FlowKey, ...] = ()
    last_finished_at: float = -math.inf
    set_aside_at: float = -math.inf
    failed_probes: int = 0
    avoided_until: float = -math.inf
    is_excused: bool = False

    @property
    def is_suspect(self) -> bool:
        """Whether several requests in a row have stalled."""
        return len(self.stalled_flows) >= SET_ASIDE_AFTER_STALLS

    def is_set_aside(self, now: float) -> bool:
        """Returns whether the server gets no flow now."""
        return self.is_suspect and not self.is_excused and now < self.avoided_until

    def record_lease(self, now: float) -> None:
        """Records a flow that was placed on the server; for a suspect it is the probe."""
        if self.is_suspect:
            self.avoided_until = now + self._period_s()

    def record_finish(self, now: float) -> None:
        """Records that the server has answered a request, which clears all suspicion."""
        self.last_finished_at = now
        self.stalled_flows = ()

    def record_stall(self, request: StalledRequest, now: float) -> bool:
        """Records a stalled request, unless the server has finished another one since.

        Returns:
            Whether the server is set aside from now on and was not before.
        """
        if request.flow in self.stalled_flows or self.last_finished_at >= request.sent_at:
            return False
        was_suspect = self.is_suspect
        self.stalled_flows = (*self.stalled_flows, request.flow)[-_REMEMBERED_FLOWS:]
        if not self.is_suspect:
            return False
        if not was_suspect:
            self.set_aside_at = now
            self.failed_probes = 0
        elif request.sent_at >= self.set_aside_at:
            self.failed_probes += 1
        self.avoided_until = max(self.avoided_until, now + self._period_s())
        return not was_suspect

    def _period_s(self) -> float:
        """Returns the period of the probes, which doubles with each one that failed."""
        doublings = min(self.failed_probes, round(math.log2(MAX_PERIOD_S / FIRST_PERIOD_S)))
        return FIRST_PERIOD_S * 2**doublings


def stall_timeout_s(work_s: float) -> float:
    """Returns after which time without progress the holder of a flow reports it, in seconds.

    Args:
        work_s: Mean work time of the flow's kind as measured by the holder, in seconds.
    """
    return HOLDER_WORK_RATIO * work_s + RETRANSMISSION_S


def min_stall_s(work_s: float) -> float:
    """Returns for how long a request that counts as stalled shows no progress, in seconds.

    Args:
        work_s: Mean work time of the flow's kind in seconds.
    """
    return STRAGGLER_WORK_RATIO * work_s + RETRANSMISSION_S


def limit_set_aside(servers: Collection[RequestProgress]) -> None:
    """Excuses all servers of a service while more than a third of them have stalled."""
    suspects = sum(progress.is_suspect for progress in servers)
    is_excused = suspects * _SERVERS_PER_SET_ASIDE > len(servers)
    for progress in servers:
        progress.is_excused = is_excused
