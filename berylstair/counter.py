"""Counters of refusals, retries and traffic."""

from collections import Counter
from enum import Enum, unique

from berylstair.errors import ErrorKind

__all__ = ['Counters', 'RetryReason', 'Traffic']


@unique
class RetryReason(Enum):
    """Why something is sent again or elsewhere, or, with BUDGET_EMPTY, is not."""

    SHED = 'shed'
    HEDGE = 'hedge'
    CLAIM_RESEND = 'claim_resend'
    LOOKUP_RESEND = 'lookup_resend'
    BUDGET_EMPTY = 'budget_empty'
    ASK_UNANSWERED = 'ask_unanswered'
    OFFER_UNANSWERED = 'offer_unanswered'
    RESET_REPEATED = 'reset_repeated'
    TAG_CORRECTED = 'tag_corrected'


@unique
class Traffic(Enum):
    """Datagrams, messages and events that an instance counts."""

    CALLER_DATAGRAMS = 'caller_datagrams'
    FORWARDED_OUT = 'forwarded_out'
    FORWARDED_IN = 'forwarded_in'
    BACKEND_DATAGRAMS = 'backend_datagrams'
    ANSWERS_RELAYED = 'answers_relayed'
    ANSWERS_REPLAYED = 'answers_replayed'
    DUPLICATES_ABSORBED = 'duplicates_absorbed'
    ATTEMPTS = 'attempts'
    CANCELS = 'cancels'
    FLOWS_BOUND = 'flows_bound'
    FLOWS_RECOVERED = 'flows_recovered'
    CLAIMS = 'claims'
    GRANTS = 'grants'
    REQUESTS = 'requests'
    PAUSES = 'pauses'
    ANSWERED_ELSEWHERE = 'answered_elsewhere'
    EJECTIONS = 'ejections'
    SOURCE_RESTORES = 'source_restores'
    CHANGES_IGNORED = 'changes_ignored'
    REQUESTS_STALLED = 'requests_stalled'
    OFFER_NOTICES = 'offer_notices'
    CONTROL_MESSAGES = 'control_messages'
    CONTROL_BYTES = 'control_bytes'
    COLD_OFFERS = 'cold_offers'
    COLD_GRANTS_UNUSED = 'cold_grants_unused'
    DEAD_SERVER_RESETS = 'dead_server_resets'
    LIVENESS_CHECKS = 'liveness_checks'


class Counters:
    """Monotonic counters by label."""

    def __init__(self) -> None:
        """Sets all counters to zero."""
        self.refusals: Counter[ErrorKind] = Counter()
        self.retries: Counter[RetryReason] = Counter()
        self.traffic: Counter[Traffic] = Counter()

    def record_refusal(self, kind: ErrorKind) -> None:
        """Counts a refusal."""
        self.refusals[kind] += 1

    def record_retry(self, reason: RetryReason) -> None:
        """Counts a retry."""
        self.retries[reason] += 1

    def record_traffic(self, traffic: Traffic, amount: int = 1) -> None:
        """Adds an amount to a traffic counter."""
        self.traffic[traffic] += amount
