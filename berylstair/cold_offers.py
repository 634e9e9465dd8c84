"""Offers to cold servers at the instance that holds the flows.

A cold server gets only opening segments that the holder of the mandate has granted. A
grant that is late, or that comes from an instance which takes the server for a usual one,
is not used. No copy of the caller's opening segment is forwarded to a cold server: each
needs a grant. One copy that corrects the tag is part of the grant.
"""

from berylstair.cold_rate import (
    CORRECTION_PERIOD_S,
    MAX_GRANT_TRANSIT_S,
    NOT_COLD_MS,
    correction_copies,
)
from berylstair.counter import RetryReason, Traffic
from berylstair.flowtrack import ColdOffer, TrackedFlow
from berylstair.record import BackendServer
from berylstair.steering_action import SendSegment
from berylstair.steering_core import SteeringCore

__all__ = ['ColdOffers']

MS_PER_S = 1000
# Ages are transmitted in whole milliseconds.
_ROUNDING_S = 0.002


class ColdOffers:
    """Decides which opening segments this instance sends to cold servers."""

    def __init__(self, core: SteeringCore) -> None:
        """Works on the state of a steering core."""
        self._core = core

    def accept_grant(
        self, flow: TrackedFlow, server: BackendServer, cold_age_ms: int, now: float
    ) -> bool:
        """Returns whether a server that another instance chose may be offered a flow.

        Args:
            flow: The flow.
            server: The server.
            cold_age_ms: Age of the flow at the grant, as far as the instance that chose
                the server knew; ``NOT_COLD_MS`` if that is not a cold server to it.
            now: Current time in seconds.
        """
        if cold_age_ms == NOT_COLD_MS:
            is_usable = not self._core.cold_servers.is_limited(flow.service, server.id, now)
        else:
            # The age that the other instance states is too low by the transit of the request.
            transit_s = now - flow.arrived_at - cold_age_ms / MS_PER_S
            is_usable = -_ROUNDING_S <= transit_s <= MAX_GRANT_TRANSIT_S
            if is_usable:
                self.record_offer(flow, server, now)
        if not is_usable:
            self._core.counters.record_traffic(Traffic.COLD_GRANTS_UNUSED)
        return is_usable

    def record_offer(self, flow: TrackedFlow, server: BackendServer, now: float) -> None:
        """Notes an offer of a flow to a cold server."""
        flow.cold_offers = (*flow.cold_offers, ColdOffer(server.id, now))

    def needs_grant(self, flow: TrackedFlow, now: float) -> bool:
        """Returns whether a copy of a flow's opening segment needs a grant of its own."""
        server = flow.server
        return server is not None and (
            any(offer.backend == server.id for offer in flow.cold_offers)
            or self._core.cold_servers.is_limited(flow.service, server.id, now)
        )

    def correct_tags(self, flow: TrackedFlow, now: float) -> None:
        """Sends the copies that give cold servers the tag of the server that has the flow."""
        limit = self._core.cold_servers.segment_limit(flow.service)
        if flow.opening_segment is None or flow.server is None or limit is None:
            return
        offered_at_by_id = {offer.backend: offer.offered_at for offer in flow.cold_offers}
        for server in flow.offered:
            offered_at = offered_at_by_id.get(server.id)
            is_in_vain = offered_at is not None and server.id != flow.server.id
            is_granted = offered_at is not None and now - offered_at <= CORRECTION_PERIOD_S
            if is_in_vain and is_granted and correction_copies(limit):
                copy = SendSegment(server, flow.opening_segment, flow.tag)
                self._core.actions.append(copy)
                self._core.counters.record_retry(RetryReason.TAG_CORRECTED)
