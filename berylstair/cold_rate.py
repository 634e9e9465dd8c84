"""Rate limit for the cold servers of one service.

Load pattern: servers start, or a zone comes back, while all other slots are taken. A
server that has just started handles few requests per second, so it may get only few
opening segments in any sliding second, and yet the whole load would go to its free slots.

The bound counts opening segments at the server. An offer that is granted here arrives
there after a transit time that varies, so grants are counted over one second plus that
variation: the grants whose segments arrive within one second all lie in one such window.
A flow that opens at another server may cause one more opening segment, which corrects the
tag (``tag_correction``). Room for it is kept until the flow is known to be open at the
server, or until it can no longer be sent.
"""

from collections import deque
from dataclasses import dataclass, field

from berylstair.ids import BackendId, FlowKey

__all__ = [
    'CORRECTION_PERIOD_S',
    'MAX_GRANT_TRANSIT_S',
    'NOT_COLD_MS',
    'WINDOW_S',
    'ColdRateLimiter',
    'correction_copies',
]

SLIDING_SECOND_S = 1.0
# In place of the age of a grant where the server is not cold.
NOT_COLD_MS = -1
# Age at which a grant is no longer used by the instance that holds the flow: it answers
# within the placement timeout of 30 ms unless a processor is busy.
MAX_GRANT_TRANSIT_S = 0.05
# Variation of the time from the sending of an offer to its arrival at the server.
MAX_OFFER_TRANSIT_S = 0.05
WINDOW_S = SLIDING_SECOND_S + MAX_GRANT_TRANSIT_S + MAX_OFFER_TRANSIT_S
# Time after an offer within which its tag may be corrected. Where a flow is open is usually
# known after the placement timeout and two offers, a fifth of a second.
CORRECTION_PERIOD_S = 1.0
_CORRECTION_WINDOW_S = CORRECTION_PERIOD_S + WINDOW_S
# Opening segments that leave room for an offer and its correction.
_MIN_LIMIT_FOR_CORRECTION = 2


def correction_copies(limit: int) -> int:
    """Returns the correcting segments that one offer to a cold server may cause.

    Args:
        limit: Opening segments that the server may get in any sliding second.
    """
    return 1 if limit >= _MIN_LIMIT_FOR_CORRECTION else 0


@dataclass(slots=True)
class _GrantedOffers:
    """Offers to one server.

    Attributes:
        granted_at: Times of the grants in the window, oldest first.
        correctable: Flow and time of the grants that a correction may follow, oldest first.
    """

    granted_at: deque[float] = field(default_factory=deque)
    correctable: deque[tuple[FlowKey, float]] = field(default_factory=deque)

    def drop_old(self, now: float) -> None:
        """Drops grants whose segments have all arrived more than a second ago."""
        while self.granted_at and now - self.granted_at[0] >= WINDOW_S:
            self.granted_at.popleft()
        while self.correctable and now - self.correctable[0][1] >= _CORRECTION_WINDOW_S:
            self.correctable.popleft()


class ColdRateLimiter:
    """Counts the offers to the cold servers of one service.

    The effort for a query does not depend on the number of offers.
    """

    def __init__(self) -> None:
        """Starts without offers."""
        self._offers_by_backend: dict[BackendId, _GrantedOffers] = {}

    def has_room(self, backend: BackendId, limit: int, now: float) -> bool:
        """Returns whether a cold server may be offered one more flow.

        Args:
            backend: The server.
            limit: Opening segments that it may get in any sliding second.
            now: Current time in seconds.
        """
        offers = self._offers_by_backend.get(backend)
        count = 0
        copies = correction_copies(limit)
        if offers is not None:
            offers.drop_old(now)
            count = len(offers.granted_at) + copies * len(offers.correctable)
        return count + 1 + copies <= limit

    def record_offer(self, backend: BackendId, flow: FlowKey, now: float) -> None:
        """Counts an offer, also a repeated one of the same flow."""
        offers = self._offers_by_backend.setdefault(backend, _GrantedOffers())
        offers.granted_at.append(now)
        offers.correctable.append((flow, now))

    def record_opened(self, backend: BackendId, flow: FlowKey) -> None:
        """Frees the room for a correction, as the flow is open at the server itself."""
        offers = self._offers_by_backend.get(backend)
        if offers is not None:
            offers.correctable = deque(row for row in offers.correctable if row[0] != flow)

    def prune(self, now: float) -> None:
        """Forgets servers without recent offers."""
        for backend, offers in list(self._offers_by_backend.items()):
            offers.drop_old(now)
            if not offers.granted_at and not offers.correctable:
                self._offers_by_backend.pop(backend)
