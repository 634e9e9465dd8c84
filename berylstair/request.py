"""Requests in progress at this instance, and stored responses of finished ones."""

from collections import deque
from dataclasses import dataclass, field
from enum import Enum, unique
from hashlib import blake2b

from berylstair.coap import CoapRequest
from berylstair.ids import AttemptId, BackendId, Endpoint, RequestId, ServiceName
from berylstair.record import BackendServer, Contract, Operation, WorkClass

__all__ = [
    'Attempt',
    'FinishedRequest',
    'Request',
    'RequestTable',
    'Stage',
    'compute_request_id',
    'find_operation',
]

_REQUEST_ID_BYTES = 16
_IDEMPOTENT_METHODS = frozenset(('GET', 'PUT', 'DELETE', 'FETCH', 'iPATCH'))
_DEFAULT_ATTEMPTS = 2


@unique
class Stage(Enum):
    """Processing stage of a request."""

    CLAIMING = 'claiming'
    QUEUED = 'queued'
    RUNNING = 'running'
    REFUSING = 'refusing'
    HELD_ELSEWHERE = 'passed'
    DONE = 'done'


@dataclass(slots=True)
class Attempt:
    """One dispatch of a request to one backend server."""

    id: AttemptId
    request: 'Request'
    server: BackendServer
    sent_at: float
    is_hedge: bool


@dataclass(slots=True)
class Request:
    """A request and its state.

    Attributes:
        stage: Processing stage; HELD_ELSEWHERE means that another instance
            holds the request.
        pinned_backend: Backend server that the block-wise transfer is bound to.
        is_claimed: Whether a claim permits its execution.
        attempt_count: Number of dispatches so far, hedges included.
        possibly_run_attempts: Number of attempts that may have been executed
            or may still be.
        holder: Instance that holds the request if the stage is HELD_ELSEWHERE.
    """

    id: RequestId
    service: ServiceName
    caller: Endpoint
    address: Endpoint
    datagram: bytes
    coap: CoapRequest
    operation: Operation
    arrived_at: float
    deadline_at: float
    stage: Stage = Stage.CLAIMING
    pinned_backend: BackendId | None = None
    is_claimed: bool = False
    attempt_count: int = 0
    possibly_run_attempts: int = 0
    holder: str = ''
    open_attempts: dict[AttemptId, Attempt] = field(default_factory=dict)
    tried_backends: set[BackendId] = field(default_factory=set)

    @property
    def work_class(self) -> WorkClass:
        """Whether its operation is short or long work."""
        return self.operation.work


def compute_request_id(
    service: ServiceName,
    address: Endpoint,
    caller: Endpoint,
    coap: CoapRequest,
) -> RequestId:
    """Computes the id that all copies of a request share.

    Args:
        service: Name of the service.
        address: Service address.
        caller: Source of the datagram.
        coap: Token and message id; all copies of a message, confirmable or
            not, carry the same message id (RFC 7252, 4.3).

    Returns:
        A 128-bit digest.
    """
    text = f'{service}|{address}|{caller}|{coap.message_id}|{coap.is_confirmable}|'
    digest = blake2b(text.encode() + coap.token, digest_size=_REQUEST_ID_BYTES)
    return RequestId(digest.digest())


def find_operation(contract: Contract, coap: CoapRequest) -> Operation:
    """Finds the operation of a contract that applies to a request.

    Args:
        contract: Contract of the service.
        coap: Method and path.

    Returns:
        The first operation that matches, else a default whose idempotence
        follows the definition of the method in RFC 7252.
    """
    for operation in contract.operations:
        if operation.method in {'*', coap.method} and _is_under_path(coap.path, operation.path):
            return operation
    return Operation(
        coap.method,
        '/',
        coap.method in _IDEMPOTENT_METHODS,
        WorkClass.SHORT,
        contract.deadline_ms,
        _DEFAULT_ATTEMPTS,
    )


def _is_under_path(path: str, prefix: str) -> bool:
    base_path = prefix.rstrip('/')
    return path == base_path or path.startswith(f'{base_path}/')


@dataclass(frozen=True, slots=True)
class FinishedRequest:
    """The response to a finished request, replayed to later copies.

    Attributes:
        response: Datagram for the caller.
        expires_at: When it may be removed, in seconds.
    """

    response: bytes
    expires_at: float


class RequestTable:
    """Requests by id; responses of finished ones are retained for a time."""

    def __init__(self, capacity: int) -> None:
        """Sets up an empty table.

        Args:
            capacity: Maximum number of unfinished and finished requests together.
        """
        self.request_by_id: dict[RequestId, Request] = {}
        self.finished_by_id: dict[RequestId, FinishedRequest] = {}
        self.attempt_by_id: dict[AttemptId, Attempt] = {}
        self._capacity = capacity
        self._expiry_queue_by_retention_s: dict[float, deque[tuple[float, RequestId]]] = {}

    @property
    def is_full(self) -> bool:
        """Whether the table has reached its capacity."""
        return len(self.request_by_id) + len(self.finished_by_id) >= self._capacity

    @property
    def unfinished_count(self) -> int:
        """Number of unfinished requests that no other instance holds."""
        requests = self.request_by_id.values()
        return sum(request.stage is not Stage.HELD_ELSEWHERE for request in requests)

    def finish(
        self, request_id: RequestId, response: bytes, retention_s: float, now: float
    ) -> None:
        """Replaces a request by its response, retained for ``retention_s`` seconds."""
        self.request_by_id.pop(request_id, None)
        self.finished_by_id[request_id] = FinishedRequest(response, now + retention_s)
        self.schedule_removal(request_id, retention_s, now)

    def schedule_removal(self, request_id: RequestId, retention_s: float, now: float) -> None:
        """Schedules the removal of a request after ``retention_s`` seconds."""
        expiry_queue = self._expiry_queue_by_retention_s.setdefault(retention_s, deque())
        expiry_queue.append((now + retention_s, request_id))

    def prune_expired(self, now: float) -> None:
        """Removes requests whose retention has ended."""
        for retention_s, expiry_queue in list(self._expiry_queue_by_retention_s.items()):
            while expiry_queue and expiry_queue[0][0] <= now:
                request_id = expiry_queue.popleft()[1]
                self.finished_by_id.pop(request_id, None)
                self.request_by_id.pop(request_id, None)
            if not expiry_queue:
                self._expiry_queue_by_retention_s.pop(retention_s)
