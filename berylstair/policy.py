"""Load-balancing policies: which backend server gets a request."""

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
        slot_limit: Slots that this instance may use.
        own_attempts: Attempts of this instance in progress.
        peer_attempts: Attempts in progress that other instances report.
        is_same_zone: Whether it is in this instance's availability zone.
        last_dispatch_number: Number of the last dispatch to it; lower is
            longer ago, 0 is never.
    """

    server: BackendServer
    slot_limit: int
    own_attempts: int
    peer_attempts: int
    is_same_zone: bool
    last_dispatch_number: int = 0

    @property
    def load(self) -> int:
        """Known number of attempts in progress, those of peers included."""
        return self.own_attempts + self.peer_attempts

    @property
    def is_free(self) -> bool:
        """Whether fewer attempts than ``slot_limit`` are known."""
        return self.load < self.slot_limit


class Policy(ABC):
    """Chooses the backend server of a request."""

    dispatch_place = DispatchPlace.RECEIVER

    @abstractmethod
    def choose(self, candidates: Sequence[Candidate], rng: Random) -> Candidate | None:
        """Returns the server for one request, None to leave it in the queue."""

    def slot_limit(self, server: BackendServer, slots: int, view: 'PolicyView') -> int:
        """Returns how many of a server's ``slots`` this instance may use."""
        return slots


@dataclass(frozen=True, slots=True)
class PolicyView:
    """This instance and the eligible ones that share the backend servers."""

    own_id: InstanceId
    eligible: tuple[InstanceId, ...]


class RandomChoice(Policy):
    """Baseline: a random server, regardless of its load."""

    def choose(self, candidates: Sequence[Candidate], rng: Random) -> Candidate | None:
        """Returns a random server."""
        return rng.choice(candidates) if candidates else None


class RoundRobin(Policy):
    """Baseline: the servers in turn, regardless of their load."""

    def __init__(self) -> None:
        """Sets up a policy that begins with the first candidate."""
        self._turns = count()

    def choose(self, candidates: Sequence[Candidate], rng: Random) -> Candidate | None:
        """Returns the next server in turn."""
        if not candidates:
            return None
        return candidates[next(self._turns) % len(candidates)]


class TwoChoices(Policy):
    """The less loaded of two free servers picked at random (power of two choices)."""

    def __init__(self, counts_peer_attempts: bool) -> None:
        """Sets which attempts count as load.

        Args:
            counts_peer_attempts: Whether attempts that other instances report
                count, or only those of this instance.
        """
        self._counts_peer_attempts = counts_peer_attempts

    def choose(self, candidates: Sequence[Candidate], rng: Random) -> Candidate | None:
        """Returns the less loaded of two random free servers."""
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
    """The least loaded free server.

    Each service has one dispatching instance, which therefore knows exactly how
    many slots are in use.
    """

    dispatch_place = DispatchPlace.SERVICE_HOME

    def __init__(self, prefers_same_zone: bool) -> None:
        """Sets how ties are broken.

        Args:
            prefers_same_zone: Whether servers in this instance's zone win ties;
                remaining ties go to the server used longest ago.
        """
        self._prefers_same_zone = prefers_same_zone

    def choose(self, candidates: Sequence[Candidate], rng: Random) -> Candidate | None:
        """Returns the free server with the lowest load per slot once the request is added."""
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
    """Each slot of a server is lent to one instance, chosen by rendezvous hash."""

    def choose(self, candidates: Sequence[Candidate], rng: Random) -> Candidate | None:
        """Returns the server with the smallest share of its lent slots in use."""
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
