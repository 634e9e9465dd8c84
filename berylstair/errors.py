"""All error kinds, the error response to each, and exceptions."""

from dataclasses import dataclass
from enum import Enum, unique

__all__ = [
    'ERROR_RESPONSE_BY_KIND',
    'ConfigurationError',
    'DecodeError',
    'ErrorKind',
    'ErrorResponse',
    'ExecutionOutcome',
    'Problem',
    'SourceError',
]


@unique
class ErrorKind(Enum):
    """All reasons for which a packet, request, message or record is refused."""

    MALFORMED_DATAGRAM = 'malformed_datagram'
    MALFORMED_HEADER = 'malformed_header'
    MALFORMED_REQUEST = 'malformed_request'
    MALFORMED_MESSAGE = 'malformed_message'
    OVERSIZED = 'oversized'
    NO_SUCH_SERVICE = 'no_such_service'
    QUARANTINED = 'quarantined'
    VIEW_EXPIRED = 'view_expired'
    NO_BACKEND = 'no_backend'
    OVERLOADED = 'overloaded'
    QUEUE_EXPIRED = 'queue_expired'
    SHED = 'shed'
    MEMORY_FULL = 'memory_full'
    CLAIM_LOST = 'claim_lost'
    CLAIM_TIMEOUT = 'claim_timeout'
    OUTCOME_UNKNOWN = 'outcome_unknown'
    LATE_WAKE = 'late_wake'
    UNMATCHED_ANSWER = 'unmatched_answer'
    FOREIGN_ANSWER = 'foreign_answer'
    UNKNOWN_SENDER = 'unknown_sender'
    HOP_LIMIT = 'hop_limit'
    LOOKUP_UNANSWERED = 'lookup_unanswered'
    FLOW_TABLE_FULL = 'flow_table_full'
    RECORD_INVALID = 'record_invalid'
    RECORD_STALE = 'record_stale'
    RECORD_CONFLICT = 'record_conflict'
    RECORD_UNKNOWN_SCHEMA = 'record_unknown_schema'
    SOURCE_UNAVAILABLE = 'source_unavailable'
    FETCH_FAILED = 'fetch_failed'
    POSITION_REFUTED = 'position_refuted'
    UNKNOWN_TAG = 'unknown_tag'
    SEND_FAILED = 'send_failed'
    INTERNAL_FAULT = 'internal_fault'


@unique
class ExecutionOutcome(Enum):
    """What an error response tells the caller about the execution of the request."""

    NOT_RUN = 'not_run'
    UNKNOWN = 'unknown'


@dataclass(frozen=True, slots=True)
class ErrorResponse:
    """A CoAP error response.

    Attributes:
        code: Response code as a byte, class in the top three bits.
        execution_outcome: Whether the request is known not to have run.
        has_retry_advice: Whether the response carries Max-Age as retry advice.
    """

    code: int
    execution_outcome: ExecutionOutcome
    has_retry_advice: bool = False


_BAD_REQUEST_CODE = 0x80
_NOT_FOUND_CODE = 0x84
_REQUEST_TOO_LARGE_CODE = 0x8D
_SERVICE_UNAVAILABLE_CODE = 0xA3
_GATEWAY_TIMEOUT_CODE = 0xA4

_RETRY_LATER = ErrorResponse(
    _SERVICE_UNAVAILABLE_CODE, ExecutionOutcome.NOT_RUN, has_retry_advice=True
)
_OUTCOME_UNKNOWN = ErrorResponse(_GATEWAY_TIMEOUT_CODE, ExecutionOutcome.UNKNOWN)

# What is refused for a kind not listed here is dropped without a response.
ERROR_RESPONSE_BY_KIND = {
    ErrorKind.MALFORMED_REQUEST: ErrorResponse(_BAD_REQUEST_CODE, ExecutionOutcome.NOT_RUN),
    ErrorKind.OVERSIZED: ErrorResponse(_REQUEST_TOO_LARGE_CODE, ExecutionOutcome.NOT_RUN),
    ErrorKind.NO_SUCH_SERVICE: ErrorResponse(_NOT_FOUND_CODE, ExecutionOutcome.NOT_RUN),
    ErrorKind.NO_BACKEND: _RETRY_LATER,
    ErrorKind.OVERLOADED: _RETRY_LATER,
    ErrorKind.QUEUE_EXPIRED: _RETRY_LATER,
    ErrorKind.SHED: _RETRY_LATER,
    ErrorKind.MEMORY_FULL: _OUTCOME_UNKNOWN,
    ErrorKind.CLAIM_LOST: _OUTCOME_UNKNOWN,
    ErrorKind.CLAIM_TIMEOUT: _OUTCOME_UNKNOWN,
    ErrorKind.OUTCOME_UNKNOWN: _OUTCOME_UNKNOWN,
    ErrorKind.LATE_WAKE: _OUTCOME_UNKNOWN,
}


@dataclass(frozen=True, slots=True)
class Problem:
    """One error in a settings file or a record.

    Attributes:
        place: File name or record key.
        key: Path of the faulty key, dots between levels.
        fault: What was found and what is allowed.
    """

    place: str
    key: str
    fault: str

    def __str__(self) -> str:
        """Formats the problem on one line."""
        return f'{self.place}: {self.key}: {self.fault}'


class ConfigurationError(Exception):
    """Raised when settings or records cannot be used.

    Attributes:
        problems: Every error found, at least one.
    """

    def __init__(self, problems: list[Problem]) -> None:
        """Joins the problems into the message of the exception."""
        super().__init__('\n'.join(str(problem) for problem in problems))
        self.problems = problems


class DecodeError(Exception):
    """Raised when bytes do not decode as the expected format."""


class SourceError(Exception):
    """Raised when the configuration source cannot be read at present."""
