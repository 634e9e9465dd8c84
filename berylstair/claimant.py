"""Requests grants of request ids and answers claims on behalf of the witnesses hosted here."""

from collections.abc import Callable
from dataclasses import dataclass

from berylstair.claim import Claim, ClaimantId, ClaimPurpose, ClaimState, Witness, WitnessAnswer
from berylstair.core import Core
from berylstair.counter import RetryReason, Traffic
from berylstair.ids import InstanceId, RequestId
from berylstair.message import (
    ClaimMode,
    ClaimReply,
    ClaimRequest,
    ClaimRow,
    InstanceListHistory,
    RecordRequest,
    Verdict,
    VerdictRow,
)
from berylstair.roles import WitnessRoles

__all__ = ['ClaimResponder', 'Claimant']

CLAIM_RESEND_INTERVAL_S = 0.15

DecisionCallback = Callable[[Claim, float], None]


@dataclass(slots=True)
class _PendingClaim:
    """A claim that is not decided yet.

    Attributes:
        on_decided: Called once, when the claim is held, lost or given up.
        give_up_at: When to stop waiting for verdicts, in seconds.
    """

    claim: Claim
    on_decided: DecisionCallback
    give_up_at: float


class ClaimResponder:
    """Decides on claims of this and other instances for the witnesses hosted here."""

    def __init__(self, core: Core, roles: WitnessRoles) -> None:
        """Sets up a responder that decides for the given witness roles."""
        self._core = core
        self._roles = roles

    def hosts_witness(self, owner: InstanceId) -> bool:
        """Returns whether this instance hosts the witness role of an owner."""
        return owner in self._roles.witness_by_owner

    def apply_local_verdicts(self, claim: Claim, now: float) -> None:
        """Adds the verdicts of the witnesses hosted here to one of this instance's claims."""
        settings = self._core.settings
        claimant = ClaimantId(settings.instance, settings.incarnation)
        for owner in claim.witnesses & self._roles.witness_by_owner.keys():
            witness = self._roles.witness_by_owner[owner]
            claim.record_verdict(owner, witness.decide(claim.request, claim.mode, claimant, now))

    def handle_claim_request(self, claimant: InstanceId, message: ClaimRequest, now: float) -> None:
        """Answers a batch of claims from another instance.

        Grants nothing unless both instances have the same list in force and the
        claimant needs a quorum in every list being replaced here. Otherwise the
        witness abstains: it requests the claimant's list if that is newer, and
        sends the replaced lists that the claimant lacks.
        """
        lists = self._core.instance_lists
        owner = InstanceId(message.witness)
        witness = self._roles.witness_by_owner.get(owner)
        has_same_lists = message.list_version == lists.version and lists.covers(
            message.quorum_list_versions
        )
        if witness is not None and has_same_lists:
            claimant_id = ClaimantId(claimant, message.incarnation)
            verdicts = tuple(
                self._decide_row(witness, claimant_id, row, now) for row in message.claims
            )
        else:
            self._synchronize_lists(claimant, message)
            verdicts = tuple(
                VerdictRow(row.request_id, Verdict.ABSTAINED, '') for row in message.claims
            )
        self._core.send(claimant, ClaimReply(owner, lists.version, verdicts))

    def _decide_row(
        self,
        witness: Witness,
        claimant: ClaimantId,
        row: ClaimRow,
        now: float,
    ) -> VerdictRow:
        mode = ClaimMode.SHARED if row.mode == ClaimMode.SHARED else ClaimMode.EXCLUSIVE
        answer = witness.decide(RequestId(row.request_id), mode, claimant, now)
        if answer.verdict is Verdict.GRANTED:
            self._core.counters.record_traffic(Traffic.GRANTS)
        return VerdictRow(row.request_id, answer.verdict, answer.holder)

    def _synchronize_lists(self, claimant: InstanceId, message: ClaimRequest) -> None:
        lists = self._core.instance_lists
        if message.list_version > lists.version:
            self._core.send(claimant, RecordRequest(('instances',)))
        if not lists.covers(message.quorum_list_versions):
            self._core.send(claimant, InstanceListHistory(lists.replaced_texts))


class Claimant:
    """Claims request ids: sends requests to witnesses in batches, and again until decided."""

    def __init__(self, core: Core, responder: ClaimResponder) -> None:
        """Sets up a claimant; the responder answers for the witnesses hosted here."""
        self._core = core
        self._responder = responder
        self._pending_by_request: dict[RequestId, _PendingClaim] = {}

    def start_claim(
        self,
        request: RequestId,
        purpose: ClaimPurpose,
        give_up_at: float,
        on_decided: DecisionCallback,
        now: float,
    ) -> None:
        """Starts a claim.

        Args:
            request: The request id.
            purpose: What the claim would permit.
            give_up_at: When to stop waiting, in seconds; the claim is then
                still pending.
            on_decided: Called once with the claim, possibly before this
                method returns.
            now: Current time in seconds.
        """
        pending = _PendingClaim(self._new_claim(request, purpose, now), on_decided, give_up_at)
        self._pending_by_request[request] = pending
        self._core.counters.record_traffic(Traffic.CLAIMS)
        self._responder.apply_local_verdicts(pending.claim, now)
        self._request_grants(pending, is_first=True)
        self._finish_if_decided(pending, now)
        if request in self._pending_by_request:
            self._schedule_resend(pending, now)

    def handle_claim_reply(self, peer: InstanceId, reply: ClaimReply, now: float) -> None:
        """Counts the verdicts of one witness and finishes the claims that they decide."""
        witness = InstanceId(reply.witness)
        if reply.list_version > self._core.instance_lists.version:
            self._core.send(peer, RecordRequest(('instances',)))
        for row in reply.verdicts:
            pending = self._pending_by_request.get(RequestId(row.request_id))
            if pending is None or witness not in pending.claim.witnesses:
                continue
            if reply.list_version == pending.claim.list_version:
                answer = WitnessAnswer(Verdict(row.verdict), row.holder)
                pending.claim.record_verdict(witness, answer)
                self._finish_if_decided(pending, now)

    def restart_pending_claims(self, now: float) -> None:
        """Starts every pending claim again, as the lists have changed."""
        for pending in list(self._pending_by_request.values()):
            claim = pending.claim
            pending.claim = self._new_claim(claim.request, claim.purpose, now)
            self._responder.apply_local_verdicts(pending.claim, now)
            self._request_grants(pending, is_first=False)
            self._finish_if_decided(pending, now)

    def _new_claim(self, request: RequestId, purpose: ClaimPurpose, now: float) -> Claim:
        lists = self._core.instance_lists
        witness_sets = lists.witness_sets(request, purpose, now)
        return Claim(request, purpose, lists.version, witness_sets)

    def _request_grants(self, pending: _PendingClaim, is_first: bool) -> None:
        claim = pending.claim
        owners = claim.witnesses - claim.granted_by - claim.denied_by
        if is_first and claim.purpose is ClaimPurpose.RUN_IDEMPOTENT:
            owners = set() if claim.granted_by else self._first_reachable_witnesses(claim)
        row = ClaimRow(claim.request, claim.mode)
        for owner in sorted(owners):
            host = self._core.membership.witness_host(owner)
            if not self._responder.hosts_witness(owner) and host != self._core.settings.instance:
                self._core.add_row(ClaimRequest, host, row, owner)

    def _first_reachable_witnesses(self, claim: Claim) -> set[InstanceId]:
        """Returns one reachable witness per list, as a single shared grant is enough."""
        membership = self._core.membership
        firsts = (
            next(
                (
                    witness
                    for witness in witnesses
                    if membership.witness_host(witness) in membership.reachable
                ),
                None,
            )
            for witnesses in claim.witness_sets
        )
        return {witness for witness in firsts if witness is not None}

    def _finish_if_decided(self, pending: _PendingClaim, now: float) -> None:
        claim = pending.claim
        is_pending = self._pending_by_request.get(claim.request) is pending
        if is_pending and claim.state is not ClaimState.PENDING:
            self._pending_by_request.pop(claim.request)
            pending.on_decided(claim, now)

    def _schedule_resend(self, pending: _PendingClaim, now: float) -> None:
        resend_at = min(now + CLAIM_RESEND_INTERVAL_S, pending.give_up_at)
        self._core.timers.schedule(resend_at, lambda due: self._handle_resend_timeout(pending, due))

    def _handle_resend_timeout(self, pending: _PendingClaim, now: float) -> None:
        request = pending.claim.request
        if self._pending_by_request.get(request) is not pending:
            return
        if now >= pending.give_up_at:
            self._pending_by_request.pop(request)
            pending.on_decided(pending.claim, now)
            return
        self._core.counters.record_retry(RetryReason.CLAIM_RESEND)
        self._responder.apply_local_verdicts(pending.claim, now)
        self._request_grants(pending, is_first=False)
        self._finish_if_decided(pending, now)
        self._schedule_resend(pending, now)
