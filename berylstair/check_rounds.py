"""Rounds of liveness checks: several instances check a server for one that decides."""

from collections.abc import Callable

from berylstair.counter import Traffic
from berylstair.directory import ServerRegistration
from berylstair.ids import BackendId, InstanceId
from berylstair.server_death import CheckBudget, CheckOutcome, DeathDetector, ServerLifetime
from berylstair.server_death_message import (
    CheckReplyBatch,
    CheckReplyRow,
    CheckRequestBatch,
    CheckRequestRow,
)
from berylstair.server_facts import ServerFacts
from berylstair.steering_action import CheckServer
from berylstair.steering_core import SteeringCore

__all__ = ['CheckRounds', 'RecordOutcome']

# Two instances in the server's zone, if there are any, must find it unreachable. Another one,
# which may be anywhere, disproves the death if only those are cut off from the server.
ZONE_CHECKERS = 2
OTHER_CHECKERS = 1

# Takes the server, the instance that checked it, the outcome and the time in seconds.
RecordOutcome = Callable[[ServerLifetime, InstanceId, CheckOutcome, float], None]


class CheckRounds:
    """Begins rounds of checks, carries out the checks of others, and passes on the outcomes."""

    def __init__(
        self,
        core: SteeringCore,
        facts: ServerFacts,
        detector: DeathDetector,
        record_outcome: RecordOutcome,
    ) -> None:
        """Starts without rounds.

        Args:
            core: State shared with the other parts.
            facts: Knows the servers.
            detector: Holds the rounds.
            record_outcome: Called with each outcome of the own rounds.
        """
        self._core = core
        self._facts = facts
        self._detector = detector
        self._record_outcome = record_outcome
        self._check_budget = CheckBudget()

    def begin_round(self, server: ServerLifetime, now: float) -> bool:
        """Begins a round of checks, unless the address belongs to another server now.

        Returns:
            Whether it was begun; not if another one was just before.
        """
        place = self._facts.find_check_place(server)
        if place is None:
            return False
        checkers = self._choose_checkers(server, place.registration)
        if not self._detector.begin_round(server, checkers, now):
            return False
        own_id = self._core.fleet.own_id
        for checker in checkers:
            if checker == own_id:
                self._check(server, own_id, now)
            else:
                self._core.add_row(CheckRequestBatch, checker, CheckRequestRow(*server))
        return True

    def handle_check_requests(self, peer: InstanceId, batch: CheckRequestBatch, now: float) -> None:
        """Carries out checks for another instance."""
        for row in batch.rows:
            self._check(ServerLifetime(BackendId(row.backend), row.started_at_ms), peer, now)

    def handle_check_replies(self, peer: InstanceId, batch: CheckReplyBatch, now: float) -> None:
        """Handles the outcomes of checks by another instance."""
        for row in batch.rows:
            server = ServerLifetime(BackendId(row.backend), row.started_at_ms)
            self._record_outcome(server, peer, row.outcome, now)

    def handle_check_result(self, action: CheckServer, outcome: CheckOutcome, now: float) -> None:
        """Handles the outcome of a check that this instance carried out."""
        self._pass_outcome(action.server, action.requester, outcome, now)

    def _choose_checkers(
        self, server: ServerLifetime, registration: ServerRegistration
    ) -> dict[InstanceId, bool]:
        """Chooses the instances that check a server, with whether each is in its zone.

        Those that reported stalled flows come last, as their own links may be at fault.
        """
        fleet = self._core.fleet
        zone = registration.server.zone
        is_in_zone_by_id = {
            peer: fleet.membership.peer_by_id[peer].zone == zone
            for peer in sorted(fleet.membership.reachable)
        }
        is_in_zone_by_id[fleet.own_id] = self._core.settings.zone == zone
        reporters = self._detector.reporters_of(server)
        names = list(is_in_zone_by_id)
        self._core.rng.shuffle(names)
        names.sort(key=lambda name: (not is_in_zone_by_id[name], name in reporters))
        others = sorted(names[ZONE_CHECKERS:], key=lambda name: name in reporters)
        chosen = names[:ZONE_CHECKERS] + others[:OTHER_CHECKERS]
        return {name: is_in_zone_by_id[name] for name in chosen}

    def _check(self, server: ServerLifetime, requester: InstanceId, now: float) -> None:
        """Checks a server, unless it may not be checked or was checked just before."""
        place = self._facts.find_check_place(server)
        if place is None or not self._check_budget.take(server, now):
            self._pass_outcome(server, requester, CheckOutcome.UNKNOWN, now)
            return
        address = place.registration.server.address
        self._core.counters.record_traffic(Traffic.LIVENESS_CHECKS)
        self._core.actions.append(CheckServer(server, address, place.path, requester))

    def _pass_outcome(
        self, server: ServerLifetime, requester: InstanceId, outcome: CheckOutcome, now: float
    ) -> None:
        own_id = self._core.fleet.own_id
        if requester == own_id:
            self._record_outcome(server, own_id, outcome, now)
        else:
            self._core.add_row(CheckReplyBatch, requester, CheckReplyRow(*server, outcome))
