"""Decides which instance may offer flows to the cold servers of a service.

Load pattern: servers start cold while instances restart, links fail or the network is
partitioned. The rate limit for cold servers is counted by one instance, so no two may
offer flows to them within the same second, whoever they believe to be reachable.

An instance holds the mandate for a service while it is the first in the ranking, sees a
majority of the instances known in the last minute, and has the votes of a majority of the
voters. Each voter votes for one instance at a time, and only for the one that is also first
in its own ranking. A vote lasts longer at the voter than at the instance that received it,
so two instances never hold a majority at the same time: two majorities have a voter in
common. A new holder waits until all that an earlier one may have caused has arrived.

The voters are a few instances of each zone, so that their number does not grow with the
fleet and the loss of one zone of three leaves a majority. In a small fleet all instances
vote.
"""

import math
from collections import defaultdict
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field

from berylstair.cold_rate import WINDOW_S
from berylstair.fleet import FLEET_HEARTBEAT_INTERVAL_S, Fleet
from berylstair.ids import InstanceId, ServiceName, ZoneId
from berylstair.membership import PEER_TIMEOUT_S
from berylstair.rendezvous import rank

__all__ = ['RENEWAL_INTERVAL_S', 'VOTE_S', 'ColdMandates', 'VoteBox', 'choose_voters']

# Interval at which votes are requested; four requests in a row must be lost to end a mandate.
RENEWAL_INTERVAL_S = 0.5
VOTE_S = 2.0
# Part of a vote's time that the instance which received it uses; clocks differ in speed by
# less than 0.02%.
_USED_VOTE_RATIO = 0.99
# Time within which all instances agree on which one dispatches: a lost one is noticed, and
# all others have heard of a new one.
AGREEMENT_S = PEER_TIMEOUT_S + FLEET_HEARTBEAT_INTERVAL_S
# It is longer than the time within which tags are corrected after an offer as well.
HANDOVER_S = WINDOW_S + AGREEMENT_S
# With three zones, a majority remains without any one of them.
VOTERS_PER_ZONE = 5
# A service is forgotten if no flow would have been offered to a cold server for this long.
INTEREST_S = 5.0


def choose_voters(
    service: ServiceName, zone_by_member: Mapping[InstanceId, ZoneId]
) -> frozenset[InstanceId]:
    """Returns the voters of a service; instances that know the same members choose the same.

    Args:
        service: The service.
        zone_by_member: Zones of all instances known in the last minute.
    """
    members_by_zone: defaultdict[ZoneId, list[InstanceId]] = defaultdict(list)
    for member, zone in zone_by_member.items():
        members_by_zone[zone].append(member)
    return frozenset(
        InstanceId(name)
        for members in members_by_zone.values()
        for name in rank(service.encode(), members, VOTERS_PER_ZONE)
    )


class VoteBox:
    """The votes of one instance."""

    def __init__(self, started_at: float) -> None:
        """Starts without votes.

        Args:
            started_at: Start of the process in seconds. It may have forgotten votes of
                an earlier process, so it does not vote until these have ended.
        """
        self._votes_from = started_at + VOTE_S
        self._vote_by_service: dict[ServiceName, tuple[InstanceId, float]] = {}

    def decide(self, service: ServiceName, candidate: InstanceId, now: float) -> bool:
        """Votes for an instance unless a vote for another one lasts.

        Args:
            service: The service.
            candidate: Instance that requests the vote, the first in the ranking here.
            now: Current time in seconds.

        Returns:
            Whether it has the vote for ``VOTE_S`` from now on.
        """
        voted_for, lasts_until = self._vote_by_service.get(service, (candidate, -math.inf))
        if now < self._votes_from or (voted_for != candidate and now < lasts_until):
            return False
        self._vote_by_service[service] = (candidate, now + VOTE_S)
        return True


@dataclass(slots=True)
class _Mandate:
    """What is known about the mandate for one service.

    Attributes:
        wanted_at: When a flow would last have been offered to a cold server.
        held_since: Since when all conditions are met, None if one is not.
        quorum_until: Until when a majority of the votes lasts.
        voters: Voters when the votes were last requested.
        members: Members of the fleet from which these were chosen.
    """

    wanted_at: float
    held_since: float | None = None
    quorum_until: float = -math.inf
    voters: frozenset[InstanceId] = frozenset()
    members: Mapping[InstanceId, ZoneId] = field(default_factory=dict)
    vote_until_by_voter: dict[InstanceId, float] = field(default_factory=dict)

    def update_quorum(self) -> None:
        """Determines until when a majority of the votes lasts."""
        ends = sorted(self.vote_until_by_voter.get(voter, -math.inf) for voter in self.voters)
        # The majority lasts until the vote in the middle ends, the earlier of two.
        self.quorum_until = ends[(len(ends) - 1) // 2] if ends else -math.inf


class ColdMandates:
    """The services for which this instance may offer flows to cold servers."""

    def __init__(self, fleet: Fleet) -> None:
        """Starts without a mandate.

        Args:
            fleet: Knows the members, the ranking and which instances are reachable.
        """
        self._fleet = fleet
        self._mandate_by_service: dict[ServiceName, _Mandate] = {}

    def is_held(self, service: ServiceName, now: float) -> bool:
        """Returns whether flows may be offered to cold servers; requests a mandate if not.

        Args:
            service: Service that has cold servers.
            now: Current time in seconds.
        """
        mandate = self._mandate_by_service.setdefault(service, _Mandate(now))
        mandate.wanted_at = now
        self._update(service, mandate, now)
        return mandate.held_since is not None and now - mandate.held_since >= HANDOVER_S

    def first_ranked(self, service: ServiceName) -> InstanceId | None:
        """Returns the instance that ranks first for a service, whether it answers or not."""
        ranking = self._fleet.dispatcher_ranking
        return ranking.first_ranked(service, self._fleet.membership.eligible)

    def held_count(self, now: float) -> int:
        """Returns the number of services for which this instance holds the mandate."""
        for service, mandate in self._mandate_by_service.items():
            self._update(service, mandate, now)
        return sum(
            mandate.held_since is not None and now - mandate.held_since >= HANDOVER_S
            for mandate in self._mandate_by_service.values()
        )

    def voters_to_ask(self, now: float) -> dict[InstanceId, list[ServiceName]]:
        """Returns the services for which each voter is to be asked for its vote.

        Called once per ``RENEWAL_INTERVAL_S``. Services without cold servers are forgotten.
        """
        services_by_voter: defaultdict[InstanceId, list[ServiceName]] = defaultdict(list)
        for service, mandate in list(self._mandate_by_service.items()):
            self._update(service, mandate, now)
            if now - mandate.wanted_at > INTEREST_S:
                self._mandate_by_service.pop(service)
            elif self._is_eligible(service):
                self._update_voters(service, mandate)
                for voter in mandate.voters:
                    services_by_voter[voter].append(service)
        return services_by_voter

    def record_votes(
        self, voter: InstanceId, services: Iterable[str], requested_at: float, now: float
    ) -> None:
        """Records the votes of an instance.

        Args:
            voter: The instance.
            services: Services for which it votes for this instance.
            requested_at: When the votes were requested; they last from then on, which is
                earlier than when they were given.
            now: Current time in seconds.
        """
        lasts_until = min(requested_at, now) + VOTE_S * _USED_VOTE_RATIO
        for service in services:
            mandate = self._mandate_by_service.get(ServiceName(service))
            if mandate is not None:
                self._update(ServiceName(service), mandate, now)
                earlier = mandate.vote_until_by_voter.get(voter, -math.inf)
                mandate.vote_until_by_voter[voter] = max(earlier, lasts_until)
                mandate.update_quorum()
                self._update(ServiceName(service), mandate, now)

    def _update_voters(self, service: ServiceName, mandate: _Mandate) -> None:
        """Chooses the voters again if the members of the fleet have changed."""
        members = self._fleet.zone_by_member
        if members is not mandate.members:
            mandate.members = members
            mandate.voters = choose_voters(service, members)
            mandate.update_quorum()

    def _is_eligible(self, service: ServiceName) -> bool:
        """Returns whether this instance should hold the mandate, as far as it knows."""
        return self._sees_majority() and self.first_ranked(service) == self._fleet.own_id

    def _sees_majority(self) -> bool:
        """Returns whether a majority of the instances known in the last minute is reachable.

        A seed at which no instance is known counts as one that is out of reach.
        """
        fleet = self._fleet
        known_count = len(fleet.zone_by_member) + len(fleet.unknown_seeds)
        return (len(fleet.membership.reachable) + 1) * 2 > known_count

    def _update(self, service: ServiceName, mandate: _Mandate, now: float) -> None:
        """Determines since when all conditions are met without an interruption."""
        if now >= mandate.quorum_until or not self._is_eligible(service):
            mandate.held_since = None
        elif mandate.held_since is None:
            mandate.held_since = now
