"""Witness roles that an instance plays: its own, and those of stopped ones.

A role is played by one instance at a time. On a planned stop its memory moves
to a deputy, which gives it back once the owner has started again. The deputy
plays it for one lifetime at most, counted from before the owner let go, and
the restarted owner abstains for as long, so they never play it at once.

Nobody lets go of a role before the other side has answered an offer: what is
sent to a process that has just started may be lost with a connection that is
replaced.
"""

from dataclasses import dataclass, field

from berylstair.claim import Witness
from berylstair.core import Core
from berylstair.ids import InstanceId
from berylstair.message import (
    GrantRow,
    WitnessRoleAcceptance,
    WitnessRoleHandover,
    WitnessRoleOffer,
)
from berylstair.rendezvous import rank

__all__ = ['WitnessRoles']

MAX_GRANTS_PER_MESSAGE = 1000
HANDOVER_TIMEOUT_S = 2.0
_MS_PER_S = 1000
_OFFER_SUPPRESSION_MS = 1000


@dataclass(slots=True)
class _IncomingHandover:
    """Parts of a role's memory that have arrived."""

    token: int
    rows: list[GrantRow] = field(default_factory=list)
    received_parts: int = 0


class WitnessRoles:
    """The witnesses that this instance plays, by the instance they belong to."""

    def __init__(self, core: Core, now: float) -> None:
        """Starts with this instance's own role, abstaining."""
        self.witness_by_owner: dict[InstanceId, Witness] = {
            core.settings.instance: self._new_witness(core, now),
        }
        self._core = core
        self._expires_at_by_owner: dict[InstanceId, float] = {}
        self._incoming_by_owner: dict[InstanceId, _IncomingHandover] = {}

    @property
    def own_witness(self) -> Witness | None:
        """This instance's own role, None once it is handed over."""
        return self.witness_by_owner.get(self._core.settings.instance)

    @property
    def deputy_for(self) -> tuple[str, ...]:
        """Owners of the other roles."""
        own = self._core.settings.instance
        return tuple(owner for owner in self.witness_by_owner if owner != own)

    def record_majority_heard(self) -> None:
        """Notes that most of the listed instances were heard."""
        for witness in self.witness_by_owner.values():
            witness.record_majority_heard()

    def prune_expired_roles(self, now: float) -> None:
        """Stops playing roles whose time is over."""
        for owner, until in list(self._expires_at_by_owner.items()):
            if now >= until:
                self._remove_role(owner)

    def offer_all_roles(self) -> None:
        """Offers every role to an instance that stays, the same zone first."""
        membership = self._core.membership
        zone_by_id = {peer.id: peer.zone for peer in membership.peer_by_id.values()}
        for owner in self.witness_by_owner:
            ranked = rank(owner.encode(), membership.eligible)
            same_zone = [
                name for name in ranked if zone_by_id.get(InstanceId(name)) == membership.zone
            ]
            for name in (same_zone or ranked)[:1]:
                self._core.send(InstanceId(name), WitnessRoleOffer(owner))

    def handle_role_offer(self, peer: InstanceId, message: WitnessRoleOffer, now: float) -> None:
        """Agrees to take a role over, unless this instance stops as well."""
        owner = InstanceId(message.owner)
        token = round(now * _MS_PER_S)
        incoming = self._incoming_by_owner.get(owner)
        is_underway = incoming is not None and token - incoming.token < _OFFER_SUPPRESSION_MS
        if self._core.membership.is_leaving or self._is_active_here(owner, now) or is_underway:
            return
        self._incoming_by_owner[owner] = _IncomingHandover(token)
        self._core.send(peer, WitnessRoleAcceptance(owner, token))

    def handle_role_acceptance(
        self, peer: InstanceId, message: WitnessRoleAcceptance, now: float
    ) -> None:
        """Lets go of a role and sends its memory."""
        owner = InstanceId(message.owner)
        is_returned = owner == peer and owner in self._expires_at_by_owner
        if self._core.membership.is_leaving or is_returned:
            self._send_handover(peer, owner, message.token, now)

    def handle_role_handover(
        self, peer: InstanceId, message: WitnessRoleHandover, now: float
    ) -> bool:
        """Takes a part of a role's memory.

        Args:
            peer: Who sent it.
            message: The part.
            now: Current time in seconds.

        Returns:
            True once the role is complete and played here.
        """
        owner = InstanceId(message.owner)
        incoming = self._incoming_by_owner.get(owner)
        if incoming is None or incoming.token != message.token:
            return False
        incoming.rows.extend(message.grants)
        incoming.received_parts += 1
        if incoming.received_parts < message.part_count:
            return False
        self._incoming_by_owner.pop(owner)
        return self._activate_role(owner, incoming, message.abstention_ms / _MS_PER_S, now)

    def offer_roles_to_owners(self) -> None:
        """Offers each role to its owner, if that has started again."""
        for owner in self._expires_at_by_owner.keys() & self._core.membership.reachable:
            self._core.send(owner, WitnessRoleOffer(owner))

    def _is_active_here(self, owner: InstanceId, now: float) -> bool:
        """Tells whether a role is played here; its abstaining owner does not."""
        witness = self.witness_by_owner.get(owner)
        is_own = owner == self._core.settings.instance
        return witness is not None and not (is_own and not witness.is_granting(now))

    def _activate_role(
        self,
        owner: InstanceId,
        incoming: _IncomingHandover,
        abstain_s: float,
        now: float,
    ) -> bool:
        is_own = owner == self._core.settings.instance
        accepted_at = incoming.token / _MS_PER_S
        own = self.own_witness
        if is_own and (own is None or own.is_granting(now)):
            return False
        if not is_own and now - accepted_at > HANDOVER_TIMEOUT_S:
            return False
        witness = self._new_witness(self._core, now)
        witness.import_grants(incoming.rows, abstain_s, now)
        if self._core.membership.is_majority_reachable:
            witness.record_majority_heard()
        self.witness_by_owner[owner] = witness
        if not is_own:
            self._expires_at_by_owner[owner] = accepted_at + self._core.settings.request_lifetime_s
        return True

    def _send_handover(self, peer: InstanceId, owner: InstanceId, token: int, now: float) -> None:
        witness = self._remove_role(owner)
        if witness is None:
            return
        rows = witness.export_grants(now)
        abstain_ms = round(witness.remaining_abstention_s(now) * _MS_PER_S)
        starts = range(0, max(len(rows), 1), MAX_GRANTS_PER_MESSAGE)
        for part, start in enumerate(starts):
            grants = tuple(rows[start : start + MAX_GRANTS_PER_MESSAGE])
            message = WitnessRoleHandover(owner, token, part, len(starts), abstain_ms, grants)
            self._core.send(peer, message)

    def _remove_role(self, owner: InstanceId) -> Witness | None:
        self._expires_at_by_owner.pop(owner, None)
        return self.witness_by_owner.pop(owner, None)

    def _new_witness(self, core: Core, now: float) -> Witness:
        settings = core.settings
        return Witness(now, settings.request_lifetime_s, settings.max_requests)
