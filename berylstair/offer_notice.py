"""Tells the holders of a flow that others may have offered at which server it is open.

Load pattern: a dispatching instance that is slow, frozen or cut off from some
instances, in a fleet of any size, while answers of servers are lost. An instance that
got no placement decision has placed a flow itself; the caller's next segments go to
another instance. The dispatching instance does not know the first one, whose server
goes on answering the opening segment with its own tag until it is corrected.

The holder sends a notice of such a flow to the two instances that rank first for
the service and to the one that ranks first in its zone, at once and a few times with its
lease report. These pass on to it the tag in the flow's release, whichever of the two
comes first.
"""

from itertools import islice

from berylstair.counter import Traffic
from berylstair.flowtrack import TrackedFlow
from berylstair.ids import FlowKey, InstanceId, ServiceName
from berylstair.lease_table import RELEASED_RETENTION_S, Outcome
from berylstair.steering_core import SteeringCore
from berylstair.steering_message import OfferNoticeBatch, OfferNoticeRow, ReleaseBatch, ReleaseRow

__all__ = ['OfferNotifier']

# The first-ranked instance is the one that the other instances ask, and the next-ranked one
# the one that they ask while the first does not respond.
NOTIFIED_INSTANCE_COUNT = 2
# The answer to an offer arrives through the caller within this time unless it is lost or the
# caller's segments go to another instance.
MIN_REPEAT_AGE_S = 0.06
# Notices in one report, 4 KB to each receiver; a server that is down for a second leaves more
# unanswered offers than that only while the dispatching instance does not respond either.
MAX_NOTICES_PER_REPORT = 100


class OfferNotifier:
    """Both ends of the offer notices: holders send them, instances that rank first keep them."""

    def __init__(self, core: SteeringCore) -> None:
        """Creates a notifier without notices.

        Args:
            core: State shared with the other parts.
        """
        self._core = core
        self._holders_by_flow: dict[FlowKey, set[InstanceId]] = {}
        self._noted_at_by_flow: dict[FlowKey, float] = {}

    def notify_offer(self, flow: TrackedFlow) -> None:
        """Sends a notice of an offered flow if the first-ranked instance did not place it."""
        if self.first_ranked(flow.service)[:1] != [flow.dispatcher]:
            self._send_notice(flow)

    def repeat_notices(self, now: float) -> None:
        """Repeats the notices of flows whose server is not known yet, the newest first.

        A notice, a release or the answer to a notice may be lost, another instance may
        rank first by now, and the instances may disagree on which one does.
        """
        unresolved = [
            flow
            for flow in self._core.flows
            if flow.offered
            and not flow.is_server_confirmed
            and MIN_REPEAT_AGE_S < now - flow.offered_at < RELEASED_RETENTION_S
        ]
        for flow in unresolved[-MAX_NOTICES_PER_REPORT:]:
            self._send_notice(flow)

    def first_ranked(self, service: ServiceName) -> list[InstanceId]:
        """Returns the instances that are told of offers and releases of a service.

        These are the first two, and the first of the own zone, which may be cut off;
        none for an instance that stops and reaches no other.
        """
        ranked = self._core.fleet.rank_dispatchers(service)
        in_own_zone = (peer for peer in ranked if self._is_in_own_zone(peer))
        # A dict drops the duplicate and keeps the order.
        return list(dict.fromkeys((*ranked[:NOTIFIED_INSTANCE_COUNT], *islice(in_own_zone, 1))))

    def handle_notices(self, peer: InstanceId, batch: OfferNoticeBatch, now: float) -> None:
        """Keeps the notices of a holder; answers with the tags that are known already."""
        for row in batch.rows:
            key = FlowKey(row.flow)
            tag = self._find_tag(key, ServiceName(row.service))
            if tag:
                release = ReleaseRow(row.flow, row.service, Outcome.ENDED, tag)
                self._core.add_row(ReleaseBatch, peer, release)
            else:
                self._holders_by_flow.setdefault(key, set()).add(peer)
                self._noted_at_by_flow[key] = now

    def take_holders(self, flow: FlowKey) -> set[InstanceId]:
        """Returns the instances that sent a notice of a flow, and forgets them."""
        self._noted_at_by_flow.pop(flow, None)
        return self._holders_by_flow.pop(flow, set())

    def prune_expired(self, now: float) -> None:
        """Drops notices that are older than the time for which releases are remembered."""
        cutoff = now - RELEASED_RETENTION_S
        expired = [flow for flow, noted_at in self._noted_at_by_flow.items() if noted_at < cutoff]
        for flow in expired:
            self.take_holders(flow)

    def _is_in_own_zone(self, instance: InstanceId) -> bool:
        peer = self._core.fleet.membership.peer_by_id.get(instance)
        return peer is None or peer.zone == self._core.settings.zone

    def _send_notice(self, flow: TrackedFlow) -> None:
        core = self._core
        row = OfferNoticeRow(flow.key, flow.service)
        for peer in set(self.first_ranked(flow.service)) - {core.fleet.own_id}:
            core.add_row(OfferNoticeBatch, peer, row)
            core.counters.record_traffic(Traffic.OFFER_NOTICES)

    def _find_tag(self, key: FlowKey, service: ServiceName) -> int:
        """Returns the tag of the server at which a flow is open, 0 if not known here."""
        flow = self._core.flows.get(key)
        if flow is not None and flow.is_server_confirmed:
            return flow.tag
        return self._core.assigner.lease_table(service).tag_of_released(key)
