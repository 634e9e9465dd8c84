"""Witness roles that an instance hosts: its own, and those of stopped instances.

Only one instance at a time acts in a witness role. On a planned stop the owner
hands the role's grants over to a deputy, which returns them once the owner has
restarted. The deputy hosts the role for at most one request lifetime, counted
from before the owner removed it, and the restarted owner abstains for as long;
so both never act in it at the same time.

An instance removes a role only after the receiver has accepted an offer of it:
a message sent to a process that has just started may be lost when the
connection is replaced.
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
    """Parts of a role's grants that have arrived.

    Attributes:
        token: Time in ms at which this instance accepted the offer; marks the
            parts that belong to this handover.
    """

    token: int
    rows: list[GrantRow] = field(default_factory=list)
    received_parts: int = 0


class WitnessRoles:
    """The witnesses that this instance hosts, by the owner of the role."""

    def __init__(self, core: Core, now: float) -> None:
        """Sets up this instance's own role, whose witness abstains at first."""
        self.witness_by_owner: dict[InstanceId, Witness] = {
            core.settings.instance: self._new_witness(core, now),
        }
        self._core = core
        self._expires_at_by_owner: dict[InstanceId, float] = {}
        self._incoming_by_owner: dict[InstanceId, _IncomingHandover] = {}

    @property
    def own_witness(self) -> Witness | None:
        """Witness of this instance's own role, None once it is handed over."""
        return self.witness_by_owner.get(self._core.settings.instance)

    @property
    def deputy_for(self) -> tuple[str, ...]:
        """Owners of the other roles hosted here."""
        own = self._core.settings.instance
        return tuple(owner for owner in self.witness_by_owner if owner != own)

    def record_majority_heard(self) -> None:
        """Records for all roles that a majority of the listed instances was reachable."""
        for witness in self.witness_by_owner.values():
            witness.record_majority_heard()

    def prune_expired_roles(self, now: float) -> None:
        """Removes the roles of other instances whose hosting period has expired."""
        for owner, expires_at in list(self._expires_at_by_owner.items()):
            if now >= expires_at:
                self._remove_role(owner)

    def offer_all_roles(self) -> None:
        """Offers each role to an eligible instance, preferably in the same zone."""
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
        """Accepts an offered role.

        Ignores the offer if this instance is in a planned stop, already acts in
        the role, or accepted an offer of it a moment ago.
        """
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
        """Hands a role over to the peer that accepted the offer.

        Does so only during a planned stop, or to return a role to its owner.
        """
        owner = InstanceId(message.owner)
        is_returned = owner == peer and owner in self._expires_at_by_owner
        if self._core.membership.is_leaving or is_returned:
            self._send_handover(peer, owner, message.token, now)

    def handle_role_handover(
        self, peer: InstanceId, message: WitnessRoleHandover, now: float
    ) -> bool:
        """Handles one part of a role's grants.

        Args:
            peer: Instance that sent the part.
            message: The part.
            now: Current time in seconds.

        Returns:
            True if this was the last part and the role is now hosted here.
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
        """Offers each hosted role to its owner if the owner is reachable again."""
        for owner in self._expires_at_by_owner.keys() & self._core.membership.reachable:
            self._core.send(owner, WitnessRoleOffer(owner))

    def _is_active_here(self, owner: InstanceId, now: float) -> bool:
        """Returns whether a role is hosted here; an owner that still abstains does not count."""
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
