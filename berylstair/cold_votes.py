"""Protocol by which an instance obtains votes for its mandate (``cold_mandate``)."""

import math
from collections.abc import Sequence

from berylstair.cold_mandate import VoteBox
from berylstair.ids import InstanceId, ServiceName
from berylstair.steering_core import SteeringCore
from berylstair.steering_message import ColdVote, ColdVoteRequest

__all__ = ['ColdVotes']

MS_PER_S = 1000


class ColdVotes:
    """Both ends of the protocol: requests votes, and votes for others."""

    def __init__(self, core: SteeringCore, started_at: float) -> None:
        """Starts without votes.

        Args:
            core: Knows the mandates and the fleet.
            started_at: Start of the process in seconds.
        """
        self._core = core
        self._vote_box = VoteBox(started_at)

    def request_votes(self, now: float) -> None:
        """Requests the votes for all services that need them; called periodically."""
        core = self._core
        sent_at_ms = math.floor(now * MS_PER_S)
        for voter, services in core.cold_mandates.voters_to_ask(now).items():
            if voter == core.fleet.own_id:
                own_votes = self._decide(voter, services, now)
                core.cold_mandates.record_votes(voter, own_votes, now, now)
            else:
                core.send(voter, ColdVoteRequest(sent_at_ms, tuple(services)))

    def handle_request(self, peer: InstanceId, request: ColdVoteRequest, now: float) -> None:
        """Votes for a peer where it ranks first here and no other has the vote."""
        granted = self._decide(peer, request.services, now)
        if granted:
            self._core.send(peer, ColdVote(request.sent_at_ms, granted))

    def handle_vote(self, peer: InstanceId, vote: ColdVote, now: float) -> None:
        """Records the votes of a peer."""
        requested_at = vote.requested_at_ms / MS_PER_S
        self._core.cold_mandates.record_votes(peer, vote.services, requested_at, now)

    def _decide(
        self, candidate: InstanceId, services: Sequence[str], now: float
    ) -> tuple[str, ...]:
        core = self._core
        return tuple(
            service
            for service in services
            if core.directory.cold_start(ServiceName(service)) is not None
            and core.cold_mandates.first_ranked(ServiceName(service)) == candidate
            and self._vote_box.decide(ServiceName(service), candidate, now)
        )
