"""Ways to choose the backend server of a request."""

from abc import ABC, abstractmethod
from collections.abc import Sequence
from dataclasses import dataclass
from enum import Enum, unique
from itertools import count
from random import Random

from berylstair.ids import InstanceId
from berylstair.record import BackendServer
from berylstair.rendezvous import rank

__all__ = [
    'POLICY_FACTORY_BY_NAME',
    'Candidate',
    'DispatchPlace',
    'LeastLoaded',
    'LentSlots',
    'Policy',
    'PolicyView',
    'RandomChoice',
    'RoundRobin',
    'TwoChoices',
]


@unique
class DispatchPlace(Enum):
    """Which instance dispatches a request."""

    RECEIVER = 'receiver'
    SERVICE_HOME = 'service_home'


@dataclass(slots=True)
class Candidate:
    """A backend server that may get a request.

    Attributes:
        limit: Slots that may be in use.
        own: Attempts of this instance in progress.
        others: Attempts in progress that other instances report.
        is_near: True in this instance's availability zone.
        last_used: Number of the last dispatch to it; lower is longer ago.
    """

    server: BackendServer
    slot_limit: int
    own_attempts: int
    peer_attempts: int
    is_same_zone: bool
    last_dispatch_number: int = 0

    @property
    def load(self) -> int:
        """Attempts in progress as far as known."""
        return self.own_attempts + self.peer_attempts

    @property
    def is_free(self) -> bool:
        """True while a slot is free as far as known."""
        return self.load < self.slot_limit


class Policy(ABC):
    """Chooses among candidates; None leaves the request in the queue."""

    dispatch_place = DispatchPlace.RECEIVER

    @abstractmethod
    def choose(self, candidates: Sequence[Candidate], rng: Random) -> Candidate | None:
        """Returns the server for one request."""

    def slot_limit(self, server: BackendServer, slots: int, view: 'PolicyView') -> int:
        """Returns how many slots this instance may fill on a server."""
        return slots


@dataclass(frozen=True, slots=True)
class PolicyView:
    """Who shares the backend servers."""

    own_id: InstanceId
    eligible: tuple[InstanceId, ...]


class RandomChoice(Policy):
    """Baseline: any server, whatever it has in progress."""

    def choose(self, candidates: Sequence[Candidate], rng: Random) -> Candidate | None:
        """Returns a server at random."""
        return rng.choice(candidates) if candidates else None


class RoundRobin(Policy):
    """Baseline: one server after the other."""

    def __init__(self) -> None:
        """Starts at the first server."""
        self._turns = count()

    def choose(self, candidates: Sequence[Candidate], rng: Random) -> Candidate | None:
        """Returns the next server."""
        if not candidates:
            return None
        return candidates[next(self._turns) % len(candidates)]


class TwoChoices(Policy):
    """The less loaded of two free servers at random."""

    def __init__(self, counts_peer_attempts: bool) -> None:
        """Counts other instances' work too, or only this instance's."""
        self._counts_peer_attempts = counts_peer_attempts

    def choose(self, candidates: Sequence[Candidate], rng: Random) -> Candidate | None:
        """Returns the less loaded of two."""
        free = [
            candidate for candidate in candidates if self._load(candidate) < candidate.slot_limit
        ]
        if not free:
            return None
        pair = rng.sample(free, min(2, len(free)))
        return min(pair, key=lambda candidate: self._load(candidate) / candidate.slot_limit)

    def _load(self, candidate: Candidate) -> int:
        return candidate.load if self._counts_peer_attempts else candidate.own_attempts


class LeastLoaded(Policy):
    """One dispatching instance a service, which knows the slots exactly."""

    dispatch_place = DispatchPlace.SERVICE_HOME

    def __init__(self, prefers_same_zone: bool) -> None:
        """Chooses among equals the nearest, or the one used longest ago."""
        self._prefers_same_zone = prefers_same_zone

    def choose(self, candidates: Sequence[Candidate], rng: Random) -> Candidate | None:
        """Returns the free server with the least load."""
        free = [candidate for candidate in candidates if candidate.is_free]
        return min(free, key=self._cost, default=None)

    def _cost(self, candidate: Candidate) -> tuple[float, bool, int]:
        is_other_zone = self._prefers_same_zone and not candidate.is_same_zone
        return (
            (candidate.load + 1) / candidate.slot_limit,
            is_other_zone,
            candidate.last_dispatch_number,
        )


class LentSlots(Policy):
    """Each slot is lent to one instance, chosen by rendezvous."""

    def choose(self, candidates: Sequence[Candidate], rng: Random) -> Candidate | None:
        """Returns the server with the most lent slots free."""
        free = [
            candidate for candidate in candidates if candidate.own_attempts < candidate.slot_limit
        ]
        if not free:
            return None
        return min(
            free,
            key=lambda candidate: (candidate.own_attempts / candidate.slot_limit, rng.random()),
        )

    def slot_limit(self, server: BackendServer, slots: int, view: PolicyView) -> int:
        """Returns how many of a server's slots are lent to this instance."""
        return sum(
            rank(f'{server.id}/{slot}'.encode(), view.eligible, 1) == [view.own_id]
            for slot in range(slots)
        )


POLICY_FACTORY_BY_NAME = {
    'least_loaded': lambda: LeastLoaded(prefers_same_zone=False),
    'least_loaded_near': lambda: LeastLoaded(prefers_same_zone=True),
    'two_choices_local': lambda: TwoChoices(counts_peer_attempts=False),
    'two_choices_digest': lambda: TwoChoices(counts_peer_attempts=True),
    'lent_slots': LentSlots,
    'random': RandomChoice,
    'round_robin': RoundRobin,
}
