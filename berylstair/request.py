"""Requests that this instance has taken on, and those it remembers."""

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
    """Life of a request."""

    CLAIMING = 'claiming'
    QUEUED = 'queued'
    RUNNING = 'running'
    REFUSING = 'refusing'
    PASSED = 'passed'
    DONE = 'done'


@dataclass(slots=True)
class Attempt:
    """One dispatch to one backend server."""

    id: AttemptId
    request: 'Request'
    server: BackendServer
    sent_at: float
    is_hedge: bool


@dataclass(slots=True)
class Request:
    """A request and what has become of it.

    Attributes:
        stage: Where it is; PASSED means that another instance holds it.
        pinned: Backend server that a block-wise transfer has to stay with.
        is_claimed: True once a claim permits to run it.
        attempts: Number of dispatches so far.
        unproven: Attempts that may have run or may run yet.
        holder: The instance that holds it where PASSED.
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
        """Short or long."""
        return self.operation.work


def compute_request_id(
    service: ServiceName,
    address: Endpoint,
    caller: Endpoint,
    coap: CoapRequest,
) -> RequestId:
    """Builds the id that all copies of a request share.

    Args:
        service: Name of the service.
        address: Service address.
        caller: Source of the datagram.
        coap: Token and message id; RFC 7252, 4.3, has copies of confirmable
            and non-confirmable messages alike share the message id.

    Returns:
        A 128-bit digest.
    """
    text = f'{service}|{address}|{caller}|{coap.message_id}|{coap.is_confirmable}|'
    digest = blake2b(text.encode() + coap.token, digest_size=_REQUEST_ID_BYTES)
    return RequestId(digest.digest())


def find_operation(contract: Contract, coap: CoapRequest) -> Operation:
    """Finds the contract's rule for a request.

    Args:
        contract: Contract of the service.
        coap: Method and path.

    Returns:
        The first rule that matches, else one by RFC 7252's definitions.
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
    """The end of a request, replayed to later copies.

    Attributes:
        answer: Datagram for the caller.
        keep_until: When it may be forgotten.
    """

    response: bytes
    expires_at: float


class RequestTable:
    """Requests by id; the answers of finished ones are kept for a time."""

    def __init__(self, capacity: int) -> None:
        """Starts empty.

        Args:
            capacity: Most requests held and remembered.
        """
        self.request_by_id: dict[RequestId, Request] = {}
        self.finished_by_id: dict[RequestId, FinishedRequest] = {}
        self.attempt_by_id: dict[AttemptId, Attempt] = {}
        self._capacity = capacity
        self._expiry_queue_by_retention_s: dict[float, deque[tuple[float, RequestId]]] = {}

    @property
    def is_full(self) -> bool:
        """True where no further request can be remembered."""
        return len(self.request_by_id) + len(self.finished_by_id) >= self._capacity

    @property
    def unfinished_count(self) -> int:
        """Number of requests that still wait for their end."""
        held = self.request_by_id.values()
        return sum(request.stage is not Stage.PASSED for request in held)

    def finish(
        self, request_id: RequestId, response: bytes, retention_s: float, now: float
    ) -> None:
        """Replaces a request by its answer for the given seconds."""
        self.request_by_id.pop(request_id, None)
        self.finished_by_id[request_id] = FinishedRequest(response, now + retention_s)
        self.schedule_removal(request_id, retention_s, now)

    def schedule_removal(self, request_id: RequestId, retention_s: float, now: float) -> None:
        """Has a request forgotten after the given seconds."""
        expiry_queue = self._expiry_queue_by_retention_s.setdefault(retention_s, deque())
        expiry_queue.append((now + retention_s, request_id))

    def prune_expired(self, now: float) -> None:
        """Forgets requests whose time is over."""
        for retention_s, expiry_queue in list(self._expiry_queue_by_retention_s.items()):
            while expiry_queue and expiry_queue[0][0] <= now:
                request_id = expiry_queue.popleft()[1]
                self.finished_by_id.pop(request_id, None)
                self.request_by_id.pop(request_id, None)
            if not expiry_queue:
                self._expiry_queue_by_retention_s.pop(retention_s)
