"""Corrects the tag that servers send which were offered a flow in vain.

Such a server goes on answering the opening segment, and each of its answers leaves
the tag that it last received with the caller. Another copy of the opening segment,
with the tag of the server at which the flow is open, makes all its later answers
harmless, whatever instance has the caller's next segment.
"""

from berylstair.cold_offers import ColdOffers
from berylstair.counter import RetryReason
from berylstair.flowtrack import TrackedFlow
from berylstair.steering_action import SendSegment
from berylstair.steering_core import SteeringCore

__all__ = ['TagCorrector']

# Any copy, or the answer to it, may be lost.
COPIES_PER_SERVER = 4
# A copy that no segment of the caller accompanies, for callers that pause at once.
SINGLE_COPY_DELAY_S = 0.25
# Copies later than this would come after most of a server's answers.
CORRECTION_S = 5.0
# A flow counts as moved once other servers get three of its segments and its own gets none;
# no more copies than this follow a segment that its own server gets.
MAX_COPIES_AT_ONCE = 2


class TagCorrector:
    """Sends copies of opening segments to servers that were offered a flow in vain."""

    def __init__(self, core: SteeringCore) -> None:
        """Creates a corrector that queues its copies with a steering core."""
        self._core = core
        self._cold_offers = ColdOffers(core)

    def start(self, flow: TrackedFlow, now: float) -> None:
        """Plans the copies for a flow whose server has just become known."""
        self._cold_offers.correct_tags(flow, now)
        others = flow.servers_offered_in_vain
        if not others or flow.opening_segment is None:
            return
        flow.copies_left = COPIES_PER_SERVER * len(others)
        if len(others) < MAX_COPIES_AT_ONCE:
            self._core.timers.schedule(now + SINGLE_COPY_DELAY_S, lambda _: self.send_copies(flow))
        self._core.timers.schedule(now + CORRECTION_S, lambda _: _end_copies(flow))

    def send_copies(self, flow: TrackedFlow) -> None:
        """Sends copies to the servers whose turn it is."""
        others = flow.servers_offered_in_vain
        if flow.opening_segment is None or not others:
            return
        for _ in range(min(len(others), MAX_COPIES_AT_ONCE, flow.copies_left)):
            flow.copies_left -= 1
            server = others[flow.copies_left % len(others)]
            if not self._core.directory.may_open_at(server):
                # A copy is an opening segment, which no server of an evacuated zone may get.
                continue
            self._core.actions.append(SendSegment(server, flow.opening_segment, flow.tag))
            self._core.counters.record_retry(RetryReason.TAG_CORRECTED)


def _end_copies(flow: TrackedFlow) -> None:
    flow.copies_left = 0
