"""Claims on request ids: at most one claimant may run or refuse a request.

Each id has three witnesses, chosen from the published list. A witness lets
claimants share an id or gives it to one alone. What a claimant needs:

* a request that is not idempotent: two exclusive grants, to run or refuse it;
* an idempotent request: one shared grant to run it, three exclusive grants to
  refuse it as not run.

Two sets of two out of three overlap, and so do one and three out of three;
a run here and a refusal there can therefore not both happen.
"""

from abc import ABC, abstractmethod
from dataclasses import dataclass, field
from enum import Enum, unique
from typing import NamedTuple

from berylstair.ids import InstanceId, RequestId
from berylstair.message import ClaimMode, GrantRow, Verdict
from berylstair.record import Instance, InstancesRecord
from berylstair.rendezvous import rank

__all__ = [
    'Claim',
    'ClaimPurpose',
    'ClaimState',
    'ClaimantId',
    'HomeZoneWitnessPlacement',
    'InstanceLists',
    'SpreadWitnessPlacement',
    'Witness',
    'WitnessAnswer',
    'WitnessPlacement',
]

WITNESS_COUNT = 3
_MAX_PRUNED_GRANTS = 64
_MS_PER_S = 1000


@unique
class ClaimPurpose(Enum):
    """What a claim is to permit."""

    RUN_ONCE = 'run_once'
    RUN_IDEMPOTENT = 'run_idempotent'
    REFUSE_IDEMPOTENT = 'refuse_idempotent'


@unique
class ClaimState(Enum):
    """Progress of a claim."""

    PENDING = 'pending'
    HELD = 'held'
    LOST = 'lost'


_MODE_BY_PURPOSE = {
    ClaimPurpose.RUN_ONCE: ClaimMode.EXCLUSIVE,
    ClaimPurpose.RUN_IDEMPOTENT: ClaimMode.SHARED,
    ClaimPurpose.REFUSE_IDEMPOTENT: ClaimMode.EXCLUSIVE,
}

# Grants needed, counted from a full set of witnesses.
_QUORUM_BY_PURPOSE = {
    ClaimPurpose.RUN_ONCE: lambda size: size // 2 + 1,
    ClaimPurpose.RUN_IDEMPOTENT: lambda size: 1,
    ClaimPurpose.REFUSE_IDEMPOTENT: lambda size: size,
}


class WitnessPlacement(ABC):
    """Chooses the witnesses of a request id from a published list."""

    @abstractmethod
    def choose_witnesses(
        self, request: RequestId, listed: tuple[Instance, ...]
    ) -> list[InstanceId]:
        """Returns up to three witnesses in rank order."""


class SpreadWitnessPlacement(WitnessPlacement):
    """One witness a zone first, so that no zone holds a majority alone."""

    def choose_witnesses(
        self, request: RequestId, listed: tuple[Instance, ...]
    ) -> list[InstanceId]:
        """Returns the best of each zone, then the best of the rest."""
        ranked = _rank_instances(request, listed)
        best_by_zone: dict[str, Instance] = {}
        for instance in ranked:
            best_by_zone.setdefault(instance.zone, instance)
        chosen = list(best_by_zone.values())[:WITNESS_COUNT]
        rest = [instance for instance in ranked if instance not in chosen]
        return [instance.id for instance in (chosen + rest)[:WITNESS_COUNT]]


class HomeZoneWitnessPlacement(WitnessPlacement):
    """All witnesses in one zone chosen by the id, filled up from the others."""

    def choose_witnesses(
        self, request: RequestId, listed: tuple[Instance, ...]
    ) -> list[InstanceId]:
        """Returns the best of the home zone, then the best of the rest."""
        zones = sorted({instance.zone for instance in listed})
        home_zone = rank(request, zones, 1)[0]
        ranked = _rank_instances(request, listed)
        ordered = sorted(ranked, key=lambda instance: instance.zone != home_zone)
        return [instance.id for instance in ordered[:WITNESS_COUNT]]


def _rank_instances(request: RequestId, listed: tuple[Instance, ...]) -> list[Instance]:
    by_id = {instance.id: instance for instance in listed}
    return [by_id[InstanceId(name)] for name in rank(request, by_id)]


# Witnesses that must have left a list before it no longer counts: so many
# that those who remain cannot permit what would contradict this claim.
_DEPARTURES_NEEDED_BY_PURPOSE = {
    ClaimPurpose.RUN_ONCE: lambda size: size - size // 2,
    ClaimPurpose.RUN_IDEMPOTENT: lambda size: 1,
    ClaimPurpose.REFUSE_IDEMPOTENT: lambda size: size,
}


@dataclass(slots=True)
class _ReplacedList:
    """A list that was replaced, and who is known to have left it when."""

    record: InstancesRecord
    text: str
    departed_at_by_instance: dict[InstanceId, float]


class InstanceLists:
    """The published list in force and the lists it is replacing.

    A request id keeps its witnesses of a replaced list until enough of them
    left that list one lifetime ago. Only an instance that is heard now, and
    has not restarted since, counts as having left. One that the newer list
    omits counts too: to omit it is to say that it has stopped.
    """

    def __init__(self, placement: WitnessPlacement, request_lifetime_s: float) -> None:
        """Starts without a list.

        Args:
            placement: Chooses the witnesses.
            lifetime_s: Longest time in which a copy of a request may arrive.
        """
        self.current: InstancesRecord | None = None
        self._current_text = ''
        self._placement = placement
        self._request_lifetime_s = request_lifetime_s
        self._replaced_by_version: dict[int, _ReplacedList] = {}

    @property
    def version(self) -> int:
        """Version of the list in force, 0 without one."""
        return self.current.version.version if self.current else 0

    @property
    def quorum_versions(self) -> tuple[int, ...]:
        """Versions that a claim made now takes its quorum from."""
        return (self.version, *self._replaced_by_version)

    @property
    def replaced_texts(self) -> tuple[str, ...]:
        """Texts of the lists being replaced."""
        return tuple(former.text for former in self._replaced_by_version.values())

    def apply_record(
        self, record: InstancesRecord, text: str, own_id: InstanceId, now: float
    ) -> None:
        """Puts a newer list in force and starts the change to it."""
        if self.current is not None:
            self._replaced_by_version[self.version] = _ReplacedList(
                self.current, self._current_text, {}
            )
        self.current = record
        self._current_text = text
        listed_ids = {instance.id for instance in record.instances}
        for replaced in self._replaced_by_version.values():
            replaced.departed_at_by_instance.setdefault(own_id, now)
            for instance in replaced.record.instances:
                if instance.id not in listed_ids:
                    replaced.departed_at_by_instance.setdefault(instance.id, now)

    def add_replaced_list(self, record: InstancesRecord, text: str) -> None:
        """Takes a replaced list from a witness that still counts it."""
        version = record.version.version
        if version < self.version:
            replaced = _ReplacedList(record, text, {})
            self._replaced_by_version.setdefault(version, replaced)

    def record_list_version(self, instance: InstanceId, version: int, at: float) -> None:
        """Notes which list another instance has in force."""
        for replaced_version, replaced in self._replaced_by_version.items():
            if version > replaced_version:
                replaced.departed_at_by_instance.setdefault(instance, at)
            else:
                replaced.departed_at_by_instance.pop(instance, None)

    def clear_list_version(self, instance: InstanceId) -> None:
        """Forgets which list an instance has, as it is not heard or restarted."""
        listed = self.current.instances if self.current else ()
        if any(found.id == instance for found in listed):
            for replaced in self._replaced_by_version.values():
                replaced.departed_at_by_instance.pop(instance, None)

    def prune_replaced_lists(self, now: float) -> None:
        """Drops the replaced lists that everybody left one lifetime ago."""
        self._replaced_by_version = {
            version: replaced
            for version, replaced in self._replaced_by_version.items()
            if not self._have_all_departed(replaced, now)
        }

    def covers(self, versions: tuple[int, ...]) -> bool:
        """Tells whether a claim over these versions counts every list needed."""
        return set(self._replaced_by_version) <= set(versions)

    def witness_sets(
        self,
        request: RequestId,
        purpose: ClaimPurpose,
        now: float,
    ) -> tuple[list[InstanceId], ...]:
        """Returns the witnesses in the list in force and in those replaced."""
        if self.current is None:
            return ()
        current = self._placement.choose_witnesses(request, self.current.instances)
        sets = [current]
        for replaced in self._replaced_by_version.values():
            witnesses = self._placement.choose_witnesses(request, replaced.record.instances)
            departed_count = sum(self._has_departed(replaced, name, now) for name in witnesses)
            if departed_count < _DEPARTURES_NEEDED_BY_PURPOSE[purpose](len(witnesses)):
                sets.append(witnesses)
        return tuple(sets)

    def _have_all_departed(self, replaced: _ReplacedList, now: float) -> bool:
        return all(
            self._has_departed(replaced, instance.id, now) for instance in replaced.record.instances
        )

    def _has_departed(self, replaced: _ReplacedList, instance: InstanceId, now: float) -> bool:
        departed_at = replaced.departed_at_by_instance.get(instance)
        return departed_at is not None and now - departed_at >= self._request_lifetime_s


class ClaimantId(NamedTuple):
    """One run of an instance; a restarted one does not inherit its grants."""

    instance: InstanceId
    incarnation: int


@dataclass(slots=True)
class _Grant:
    """What a witness remembers of one id."""

    mode: ClaimMode
    holders: set[ClaimantId]
    expires_at: float


@dataclass(frozen=True, slots=True)
class WitnessAnswer:
    """Verdict on one id and, where denied, who holds it."""

    verdict: Verdict
    holder: str = ''


_ABSTAINED = WitnessAnswer(Verdict.ABSTAINED)
_GRANTED = WitnessAnswer(Verdict.GRANTED)


class Witness:
    """Grants request ids and remembers the grants for one lifetime.

    A process that has just started may have granted ids before and forgotten
    them, so it abstains for one lifetime; and it may have been shown an old
    list, so it abstains until it has heard most of the listed instances.
    """

    def __init__(self, started_at: float, request_lifetime_s: float, max_grants: int) -> None:
        """Starts empty.

        Args:
            started_at: Start of this process in seconds.
            lifetime_s: Longest time in which a copy of a request may arrive.
            capacity: Most ids remembered; beyond it the witness abstains.
        """
        self.grant_by_request: dict[RequestId, _Grant] = {}
        self._abstains_until = started_at + request_lifetime_s
        self._has_heard_majority = False
        self._request_lifetime_s = request_lifetime_s
        self._max_grants = max_grants

    def is_granting(self, now: float) -> bool:
        """Tells whether the abstention after the start is over."""
        return self._has_heard_majority and now >= self._abstains_until

    def record_majority_heard(self) -> None:
        """Notes that most of the listed instances were heard."""
        self._has_heard_majority = True

    def export_grants(self, now: float) -> list[GrantRow]:
        """Returns the memory of this role for another instance to keep."""
        return [
            GrantRow(
                request,
                grant.mode,
                holder.instance,
                holder.incarnation,
                max(round((grant.expires_at - now) * _MS_PER_S), 0),
            )
            for request, grant in self.grant_by_request.items()
            for holder in grant.holders
        ]

    def import_grants(self, rows: list[GrantRow], abstain_s: float, now: float) -> None:
        """Takes the memory of this role over from another instance."""
        self._abstains_until = now + abstain_s
        for row in rows:
            holder = ClaimantId(InstanceId(row.holder), row.incarnation)
            request = RequestId(row.request_id)
            expires_at = now + row.remaining_ms / _MS_PER_S
            grant = _Grant(ClaimMode(row.mode), set(), expires_at)
            self.grant_by_request.setdefault(request, grant).holders.add(holder)

    def remaining_abstention_s(self, now: float) -> float:
        """Returns the seconds of abstention that are left."""
        return max(self._abstains_until - now, 0)

    def decide(
        self,
        request: RequestId,
        mode: ClaimMode,
        claimant: ClaimantId,
        now: float,
    ) -> WitnessAnswer:
        """Decides on one id.

        Args:
            request: The id.
            mode: Shared or exclusive.
            claimant: Who asks.
            now: Current time in seconds.

        Returns:
            Granted, denied with the holder, or abstained.
        """
        if not self.is_granting(now):
            return _ABSTAINED
        grant = self.grant_by_request.get(request)
        if grant is not None and now < grant.expires_at:
            return self._decide_on_existing_grant(grant, mode, claimant)
        self._prune_expired_grants(now)
        if len(self.grant_by_request) >= self._max_grants:
            return _ABSTAINED
        expires_at = now + self._request_lifetime_s
        self.grant_by_request.pop(request, None)
        self.grant_by_request[request] = _Grant(mode, {claimant}, expires_at)
        return _GRANTED

    def _decide_on_existing_grant(
        self,
        grant: _Grant,
        mode: ClaimMode,
        claimant: ClaimantId,
    ) -> WitnessAnswer:
        shared = ClaimMode.SHARED
        if grant.holders == {claimant}:
            grant.mode = max(grant.mode, mode)
            return _GRANTED
        if grant.mode is shared and mode is shared:
            grant.holders.add(claimant)
            return _GRANTED
        others = grant.holders - {claimant}
        return WitnessAnswer(Verdict.DENIED, min(others).instance)

    def _prune_expired_grants(self, now: float) -> None:
        """Drops a few of the oldest grants whose lifetime is over."""
        for _ in range(_MAX_PRUNED_GRANTS):
            oldest = next(iter(self.grant_by_request), None)
            if oldest is None or now < self.grant_by_request[oldest].expires_at:
                return
            self.grant_by_request.pop(oldest)


@dataclass(slots=True)
class Claim:
    """A claimant's count of the verdicts on one id."""

    request: RequestId
    purpose: ClaimPurpose
    list_version: int
    witness_sets: tuple[list[InstanceId], ...]
    granted_by: set[InstanceId] = field(default_factory=set)
    denied_by: set[InstanceId] = field(default_factory=set)
    holder: str = ''

    @property
    def mode(self) -> ClaimMode:
        """Mode to ask the witnesses for."""
        return _MODE_BY_PURPOSE[self.purpose]

    @property
    def witnesses(self) -> set[InstanceId]:
        """Everyone to ask."""
        return set().union(*self.witness_sets)

    @property
    def state(self) -> ClaimState:
        """Held with a quorum in each list, lost once one is out of reach."""
        quorum = _QUORUM_BY_PURPOSE[self.purpose]
        if not self.witness_sets:
            return ClaimState.PENDING
        is_quorum_missing = False
        for witnesses in self.witness_sets:
            needed = quorum(max(len(witnesses), 1))
            granted = sum(name in self.granted_by for name in witnesses)
            denied = sum(name in self.denied_by for name in witnesses)
            if len(witnesses) - denied < needed:
                return ClaimState.LOST
            is_quorum_missing = is_quorum_missing or granted < needed
        return ClaimState.PENDING if is_quorum_missing else ClaimState.HELD

    def record_verdict(self, witness: InstanceId, answer: WitnessAnswer) -> None:
        """Counts one verdict; an abstention leaves the witness open."""
        if answer.verdict is Verdict.GRANTED:
            self.granted_by.add(witness)
        if answer.verdict is Verdict.DENIED:
            self.denied_by.add(witness)
            self.holder = answer.holder
