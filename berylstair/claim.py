"""Claims on request ids: quorums of witnesses decide who may run or refuse a request.

Each request id has three witnesses, chosen from the published list of
instances. A witness grants an id either to several claimants (shared) or to
one only (exclusive). A claimant needs these grants:

* to run or to refuse a request that is not idempotent: two exclusive grants;
* to run an idempotent request: one shared grant;
* to refuse an idempotent request as not run: three exclusive grants.

Any two sets of two witnesses out of three overlap, and so do any one witness
and all three. One instance can therefore not run a request that another one
refuses as not run, and a request that is not idempotent is run at most once.
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
    """What the claimant may do once the claim is held."""

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

# Number of grants needed, by the number of witnesses of the request id.
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
    """Spreads the witnesses over the zones, so that no zone holds a majority alone."""

    def choose_witnesses(
        self, request: RequestId, listed: tuple[Instance, ...]
    ) -> list[InstanceId]:
        """Returns the top-ranked instance of each zone, then the top-ranked of the rest."""
        ranked = _rank_instances(request, listed)
        best_by_zone: dict[str, Instance] = {}
        for instance in ranked:
            best_by_zone.setdefault(instance.zone, instance)
        chosen = list(best_by_zone.values())[:WITNESS_COUNT]
        rest = [instance for instance in ranked if instance not in chosen]
        return [instance.id for instance in (chosen + rest)[:WITNESS_COUNT]]


class HomeZoneWitnessPlacement(WitnessPlacement):
    """Prefers witnesses in one zone, the request id's home zone.

    Instances of other zones fill the places that the home zone cannot.
    """

    def choose_witnesses(
        self, request: RequestId, listed: tuple[Instance, ...]
    ) -> list[InstanceId]:
        """Returns the top-ranked instances of the home zone, then those of other zones."""
        zones = sorted({instance.zone for instance in listed})
        home_zone = rank(request, zones, 1)[0]
        ranked = _rank_instances(request, listed)
        ordered = sorted(ranked, key=lambda instance: instance.zone != home_zone)
        return [instance.id for instance in ordered[:WITNESS_COUNT]]


def _rank_instances(request: RequestId, listed: tuple[Instance, ...]) -> list[Instance]:
    by_id = {instance.id: instance for instance in listed}
    return [by_id[InstanceId(name)] for name in rank(request, by_id)]


# Number of witnesses that must have departed from a replaced list before a claim
# needs no quorum in it: so many that the remaining witnesses cannot grant a claim
# that contradicts this one.
_DEPARTURES_NEEDED_BY_PURPOSE = {
    ClaimPurpose.RUN_ONCE: lambda size: size - size // 2,
    ClaimPurpose.RUN_IDEMPOTENT: lambda size: 1,
    ClaimPurpose.REFUSE_IDEMPOTENT: lambda size: size,
}


@dataclass(slots=True)
class _ReplacedList:
    """A list that a newer one has replaced.

    Attributes:
        departed_at_by_instance: When each instance was first known to have
            departed, that is to have a newer list in force.
    """

    record: InstancesRecord
    text: str
    departed_at_by_instance: dict[InstanceId, float]


class InstanceLists:
    """The published list in force and the older lists that it is replacing.

    A claim also needs a quorum of its witnesses in a replaced list until enough
    of them departed from that list (put a newer one in force) at least one
    request lifetime ago. An instance counts as departed only while it is heard
    and as long as it has not restarted since. An instance that the newer list
    omits also counts as departed, because omitting it states that it has stopped.
    """

    def __init__(self, placement: WitnessPlacement, request_lifetime_s: float) -> None:
        """Sets up the lists; none is in force yet.

        Args:
            placement: Chooses the witnesses.
            request_lifetime_s: Longest time after a request's first copy in
                which another copy of it may arrive.
        """
        self.current: InstancesRecord | None = None
        self._current_text = ''
        self._placement = placement
        self._request_lifetime_s = request_lifetime_s
        self._replaced_by_version: dict[int, _ReplacedList] = {}

    @property
    def version(self) -> int:
        """Version of the list in force, 0 if there is none."""
        return self.current.version.version if self.current else 0

    @property
    def quorum_versions(self) -> tuple[int, ...]:
        """Versions of the lists in which a claim made now needs a quorum."""
        return (self.version, *self._replaced_by_version)

    @property
    def replaced_texts(self) -> tuple[str, ...]:
        """Texts of the lists being replaced."""
        return tuple(replaced.text for replaced in self._replaced_by_version.values())

    def apply_record(
        self, record: InstancesRecord, text: str, own_id: InstanceId, now: float
    ) -> None:
        """Puts a newer list in force and starts to replace the previous one.

        Args:
            record: The newer list.
            text: Text of the record.
            own_id: This instance, which departs from the replaced lists now.
            now: Current time in seconds.
        """
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
        """Adds a replaced list that a witness still requires a quorum in."""
        version = record.version.version
        if version < self.version:
            replaced = _ReplacedList(record, text, {})
            self._replaced_by_version.setdefault(version, replaced)

    def record_list_version(self, instance: InstanceId, version: int, since: float) -> None:
        """Records which list version another instance has in force, and since when."""
        for replaced_version, replaced in self._replaced_by_version.items():
            if version > replaced_version:
                replaced.departed_at_by_instance.setdefault(instance, since)
            else:
                replaced.departed_at_by_instance.pop(instance, None)

    def clear_list_version(self, instance: InstanceId) -> None:
        """Counts a listed instance as not departed, as it is unreachable or has restarted."""
        listed = self.current.instances if self.current else ()
        if any(entry.id == instance for entry in listed):
            for replaced in self._replaced_by_version.values():
                replaced.departed_at_by_instance.pop(instance, None)

    def prune_replaced_lists(self, now: float) -> None:
        """Removes the replaced lists whose instances all departed at least one lifetime ago."""
        self._replaced_by_version = {
            version: replaced
            for version, replaced in self._replaced_by_version.items()
            if not self._have_all_departed(replaced, now)
        }

    def covers(self, versions: tuple[int, ...]) -> bool:
        """Returns whether these versions include every list being replaced."""
        return set(self._replaced_by_version) <= set(versions)

    def witness_sets(
        self,
        request: RequestId,
        purpose: ClaimPurpose,
        now: float,
    ) -> tuple[list[InstanceId], ...]:
        """Returns the witnesses in each list in which a claim needs a quorum.

        Args:
            request: The request id.
            purpose: What the claim would permit.
            now: Current time in seconds.

        Returns:
            The witnesses in the list in force, then those in each replaced
            list that still counts for the purpose; empty without a list.
        """
        if self.current is None:
            return ()
        current = self._placement.choose_witnesses(request, self.current.instances)
        sets = [current]
        for replaced in self._replaced_by_version.values():
            witnesses = self._placement.choose_witnesses(request, replaced.record.instances)
            departed_count = sum(
                self._has_departed(replaced, witness, now) for witness in witnesses
            )
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
    """One incarnation of an instance; a restarted instance does not inherit its grants."""

    instance: InstanceId
    incarnation: int


@dataclass(slots=True)
class _Grant:
    """A witness's grant of one request id."""

    mode: ClaimMode
    holders: set[ClaimantId]
    expires_at: float


@dataclass(frozen=True, slots=True)
class WitnessAnswer:
    """Verdict on one request id and, if denied, an instance that holds it."""

    verdict: Verdict
    holder: str = ''


_ABSTAINED = WitnessAnswer(Verdict.ABSTAINED)
_GRANTED = WitnessAnswer(Verdict.GRANTED)


class Witness:
    """Grants request ids and stores the grants for one request lifetime.

    A process that has just started may have lost grants that it gave before
    the restart, so it abstains for one lifetime. It may also have read an
    outdated list, so it abstains until a majority of the listed instances has
    been reachable.
    """

    def __init__(self, started_at: float, request_lifetime_s: float, max_grants: int) -> None:
        """Sets up a witness without grants, which abstains at first.

        Args:
            started_at: Start of the abstention in seconds.
            request_lifetime_s: Longest time after a request's first copy in
                which another copy of it may arrive.
            max_grants: Maximum number of request ids stored; when full, the
                witness abstains on new ids.
        """
        self.grant_by_request: dict[RequestId, _Grant] = {}
        self._abstains_until = started_at + request_lifetime_s
        self._has_heard_majority = False
        self._request_lifetime_s = request_lifetime_s
        self._max_grants = max_grants

    def is_granting(self, now: float) -> bool:
        """Returns whether the abstention after the start is over."""
        return self._has_heard_majority and now >= self._abstains_until

    def record_majority_heard(self) -> None:
        """Records that a majority of the listed instances was reachable."""
        self._has_heard_majority = True

    def export_grants(self, now: float) -> list[GrantRow]:
        """Returns the grants, one row per holder, to be handed over to another instance."""
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
        """Takes over the grants of this witness role from another instance.

        Args:
            rows: The grants, one row per holder.
            abstain_s: Remaining abstention at the other instance, in seconds.
            now: Current time in seconds.
        """
        self._abstains_until = now + abstain_s
        for row in rows:
            holder = ClaimantId(InstanceId(row.holder), row.incarnation)
            request = RequestId(row.request_id)
            expires_at = now + row.remaining_ms / _MS_PER_S
            grant = _Grant(ClaimMode(row.mode), set(), expires_at)
            self.grant_by_request.setdefault(request, grant).holders.add(holder)

    def remaining_abstention_s(self, now: float) -> float:
        """Returns the time until the abstention ends, in seconds."""
        return max(self._abstains_until - now, 0)

    def decide(
        self,
        request: RequestId,
        mode: ClaimMode,
        claimant: ClaimantId,
        now: float,
    ) -> WitnessAnswer:
        """Decides on a claim to one request id.

        Args:
            request: The request id.
            mode: Shared or exclusive.
            claimant: The incarnation that claims the id.
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
        """Removes expired grants, the oldest first and a bounded number per call."""
        for _ in range(_MAX_PRUNED_GRANTS):
            oldest = next(iter(self.grant_by_request), None)
            if oldest is None or now < self.grant_by_request[oldest].expires_at:
                return
            self.grant_by_request.pop(oldest)


@dataclass(slots=True)
class Claim:
    """A claim to one request id and the verdicts received on it."""

    request: RequestId
    purpose: ClaimPurpose
    list_version: int
    witness_sets: tuple[list[InstanceId], ...]
    granted_by: set[InstanceId] = field(default_factory=set)
    denied_by: set[InstanceId] = field(default_factory=set)
    holder: str = ''

    @property
    def mode(self) -> ClaimMode:
        """Mode requested of the witnesses."""
        return _MODE_BY_PURPOSE[self.purpose]

    @property
    def witnesses(self) -> set[InstanceId]:
        """Witnesses in all lists in which a quorum is needed."""
        return set().union(*self.witness_sets)

    @property
    def state(self) -> ClaimState:
        """State: held with a quorum in each list, lost once any list can no longer give one."""
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
        """Counts a verdict; a witness that abstained may still grant or deny."""
        if answer.verdict is Verdict.GRANTED:
            self.granted_by.add(witness)
        if answer.verdict is Verdict.DENIED:
            self.denied_by.add(witness)
            self.holder = answer.holder
