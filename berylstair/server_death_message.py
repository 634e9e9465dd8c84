"""Messages between instances about servers that may have died; all are datagrams."""

from collections.abc import Mapping
from typing import Any, NamedTuple

from berylstair.server_death import CheckOutcome

__all__ = [
    'SERVER_DEATH_MESSAGES',
    'SERVER_DEATH_ROWS',
    'CheckReplyBatch',
    'CheckReplyRow',
    'CheckRequestBatch',
    'CheckRequestRow',
    'ProgressBatch',
    'ProgressRow',
    'StallBatch',
    'StallRow',
    'VerdictBatch',
    'VerdictRow',
]


class StallRow(NamedTuple):
    """A flow whose request is unanswered.

    Attributes:
        started_at_ms: Start time of the server, as the sender's directory has it.
        caller: Address and port of the flow's caller, 6 bytes.
        unanswered_ms: Time since the sender forwarded a copy of the request after which
            none was answered; 0 only asks whether the server is dead.
    """

    backend: str
    started_at_ms: int
    caller: bytes
    unanswered_ms: int


class ProgressRow(NamedTuple):
    """A server of which a flow showed progress, after a stall or against a verdict.

    Attributes:
        age_ms: Time since the progress.
    """

    backend: str
    started_at_ms: int
    age_ms: int


class CheckRequestRow(NamedTuple):
    """A server for which a liveness check is requested."""

    backend: str
    started_at_ms: int


class CheckReplyRow(NamedTuple):
    """Outcome of a liveness check."""

    backend: str
    started_at_ms: int
    outcome: CheckOutcome


class VerdictRow(NamedTuple):
    """Verdict on a server.

    Attributes:
        number: Counts the verdicts on this lifetime: odd means dead, even alive.
        checked_ms: Time since the checks ended.
        silent_ms: Time since the server left the first request unanswered.
    """

    backend: str
    started_at_ms: int
    number: int
    checked_ms: int
    silent_ms: int


class StallBatch(NamedTuple):
    """Tells the dispatching instance of a service which flows are stalled."""

    rows: tuple[StallRow, ...]


class ProgressBatch(NamedTuple):
    """Tells it which servers show progress."""

    rows: tuple[ProgressRow, ...]


class CheckRequestBatch(NamedTuple):
    """Asks an instance to check servers."""

    rows: tuple[CheckRequestRow, ...]


class CheckReplyBatch(NamedTuple):
    """Answers it."""

    rows: tuple[CheckReplyRow, ...]


class VerdictBatch(NamedTuple):
    """Tells which servers are dead, or alive again."""

    rows: tuple[VerdictRow, ...]


SERVER_DEATH_MESSAGES: tuple[type[Any], ...] = (
    StallBatch,
    ProgressBatch,
    CheckRequestBatch,
    CheckReplyBatch,
    VerdictBatch,
)
SERVER_DEATH_ROWS: Mapping[tuple[type[Any], str], type[Any]] = {
    (StallBatch, 'rows'): StallRow,
    (ProgressBatch, 'rows'): ProgressRow,
    (CheckRequestBatch, 'rows'): CheckRequestRow,
    (CheckReplyBatch, 'rows'): CheckReplyRow,
    (VerdictBatch, 'rows'): VerdictRow,
}
