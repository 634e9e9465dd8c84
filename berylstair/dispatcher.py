"""Claims, queues and dispatches requests, and sends the responses.

Every service has one dispatching instance, so that the slots in use are counted
exactly; ``intake`` forwards requests to it. A request is run, or refused as not
run, only under a claim (see ``claim``).
"""

from collections import defaultdict
from random import Random

from berylstair.action import SendToCaller
from berylstair.attempts import AttemptTracker
from berylstair.catalogue import LogEvent
from berylstair.claim import Claim, ClaimPurpose, ClaimState
from berylstair.claimant import Claimant
from berylstair.coap import (
    CoapRequest,
    DatagramKind,
    classify_datagram,
    encode_error_response,
    rewrite_response,
)
from berylstair.core import Core
from berylstair.counter import RetryReason, Traffic
from berylstair.errors import ERROR_RESPONSE_BY_KIND, DecodeError, ErrorKind, ExecutionOutcome
from berylstair.event import BackendDatagram
from berylstair.flow import Binding, BindingRole, FlowTable, dispatcher_and_successor, transfer_key
from berylstair.health import ServiceHealth
from berylstair.ids import InstanceId, ServiceName
from berylstair.message import BindingCopy
from berylstair.policy import Candidate, Policy
from berylstair.record import WorkClass
from berylstair.request import (
    Attempt,
    Request,
    RequestTable,
    Stage,
)
from berylstair.retry import RetryBudget
from berylstair.router import BINDING_LIFETIME_RATIO
from berylstair.view import Service
from berylstair.workqueue import WorkQueue

__all__ = ['Dispatcher', 'encode_error_for_kind']

REFUSAL_CLAIM_TIMEOUT_S = 0.3
IDEMPOTENT_RESPONSE_RETENTION_S = 5.0

# These two are multiples of the 95th percentile of recent durations of the same work class.
EXECUTION_RESERVE_RATIO = 1.25
FAILURE_AGE_RATIO = 3.0

RETRY_BUDGET_RATIO = 0.2
HEDGE_BUDGET_RATIO = 0.05
MAX_BUDGET_TOKENS = 10.0
_RETRY_MAX_AGE_RANGE_S = (1, 4)
_SHORT_WORK_WINDOW_S = 10.0


class _ServiceState:
    """Queue, server health and budgets of one service."""

    def __init__(self) -> None:
        """Sets up an empty queue and full budgets."""
        self.queue = WorkQueue()
        self.health = ServiceHealth()
        self.retry_budget = RetryBudget(RETRY_BUDGET_RATIO, MAX_BUDGET_TOKENS)
        self.hedge_budget = RetryBudget(HEDGE_BUDGET_RATIO, MAX_BUDGET_TOKENS)
        self.last_short_request_at = -_SHORT_WORK_WINDOW_S


class Dispatcher:
    """Processes the requests that this instance accepts, from claim to response."""

    def __init__(
        self,
        core: Core,
        claimant: Claimant,
        policy: Policy,
        flows: FlowTable,
    ) -> None:
        """Sets up a dispatcher with an empty request table.

        Args:
            core: Shared state.
            claimant: Obtains the claims.
            policy: Chooses backend servers.
            flows: Keeps the bindings of block-wise transfers.
        """
        self.table = RequestTable(core.settings.max_requests)
        self.attempts = AttemptTracker(core, self.table, policy)
        self._core = core
        self._claimant = claimant
        self._policy = policy
        self._flows = flows
        self._state_by_service: dict[ServiceName, _ServiceState] = defaultdict(_ServiceState)

    def handle_response(self, event: BackendDatagram, now: float) -> None:
        """Handles a datagram from a backend server that carries an attempt id."""
        attempt = self.attempts.match_response(event)
        if attempt is None or classify_datagram(event.payload) is DatagramKind.EMPTY:
            return
        request = attempt.request
        try:
            response = rewrite_response(event.payload, request.coap)
        except DecodeError:
            self._core.counters.record_refusal(ErrorKind.FOREIGN_ANSWER)
            return
        self.attempts.close(attempt)
        if response.is_shed:
            self._handle_shed(attempt, now)
        else:
            self._complete(attempt, response.datagram, now)
            if response.has_more_blocks:
                self._bind_transfer(attempt, now)
        self.dispatch_queued(request.service, now)

    def apply_service(self, service: Service, now: float) -> None:
        """Applies a changed service record and dispatches what can run now."""
        self._state_by_service[service.name].health.apply_service(service, now)
        self.dispatch_queued(service.name, now)

    def dispatch_queued(self, name: ServiceName, now: float) -> None:
        """Dispatches queued requests while slots are free."""
        service = self._core.store.service_by_name.get(name)
        state = self._state_by_service[name]
        if service is None or not len(state.queue):
            return
        self._dispatch_pinned(service, state, now)
        candidates = self.attempts.find_candidates(service, state.health, now)
        blocked_classes: set[WorkClass] = set()
        request = state.queue.peek(blocked_classes)
        while request is not None:
            chosen = self._choose_candidate(request, service, candidates, now)
            if chosen is None:
                blocked_classes.add(request.work_class)
            else:
                state.queue.pop(request)
                self._dispatch(request, chosen, now)
            request = state.queue.peek(blocked_classes)

    def dispatch_all_queued(self, now: float) -> None:
        """Dispatches queued requests of every service."""
        for name, state in list(self._state_by_service.items()):
            if len(state.queue):
                self.dispatch_queued(name, now)

    def accept_request(self, request: Request, service: Service, now: float) -> None:
        """Accepts a request and starts its claim.

        Args:
            request: A request that is not in the table yet.
            service: Its service.
            now: Current time in seconds.
        """
        self.table.request_by_id[request.id] = request
        self._core.counters.record_traffic(Traffic.REQUESTS)
        state = self._state_by_service[service.name]
        state.retry_budget.deposit()
        state.hedge_budget.deposit()
        if request.work_class is WorkClass.SHORT:
            state.last_short_request_at = now
        self._core.timers.schedule(
            request.deadline_at, lambda at: self._handle_deadline(request, at)
        )
        self._start_claim(request, service, now)

    def _start_claim(self, request: Request, service: Service, now: float) -> None:
        purpose = ClaimPurpose.RUN_ONCE
        if request.operation.idempotent:
            purpose = ClaimPurpose.RUN_IDEMPOTENT
            if self._should_refuse(request, service, now):
                self._refuse(request, ErrorKind.OVERLOADED, now)
                return
        self._claimant.start_claim(
            request.id,
            purpose,
            request.deadline_at,
            lambda claim, at: self._handle_claim_result(request, claim, at),
            now,
        )

    def _handle_claim_result(self, request: Request, claim: Claim, now: float) -> None:
        if request.stage is not Stage.CLAIMING:
            return
        if claim.state is ClaimState.HELD:
            request.is_claimed = True
            self._admit(request, now)
        elif claim.state is ClaimState.LOST:
            self._forward_request(request, InstanceId(claim.holder), now)
        else:
            self._finish_with_error(request, ErrorKind.CLAIM_TIMEOUT, now)

    def _forward_request(self, request: Request, holder: InstanceId, now: float) -> None:
        request.stage = Stage.HELD_ELSEWHERE
        request.holder = holder
        lifetime_s = self._core.settings.request_lifetime_s
        self.table.schedule_removal(request.id, lifetime_s, now)
        service = self._core.store.service_by_name.get(request.service)
        if service is not None and holder in self._core.membership.reachable:
            self._core.forward(
                holder,
                service,
                request.caller,
                request.address,
                request.datagram,
                0,
            )

    def _admit(self, request: Request, now: float) -> None:
        service = self._core.store.service_by_name.get(request.service)
        if service is None or not service.accepting_servers:
            self._refuse(request, ErrorKind.NO_BACKEND, now)
        elif self._should_refuse(request, service, now):
            self._refuse(request, ErrorKind.OVERLOADED, now)
        else:
            self._enqueue(request, now)

    def _enqueue(self, request: Request, now: float, is_first: bool = False) -> None:
        state = self._state_by_service[request.service]
        request.stage = Stage.QUEUED
        state.queue.add(request, is_first)
        latest_dispatch_at = request.deadline_at - self._execution_reserve_s(state, request)
        self._core.timers.schedule(
            latest_dispatch_at, lambda at: self._handle_queue_timeout(request, at)
        )
        self.dispatch_queued(request.service, now)

    def _handle_queue_timeout(self, request: Request, now: float) -> None:
        if request.stage is Stage.QUEUED:
            self._refuse(request, ErrorKind.QUEUE_EXPIRED, now)

    def _should_refuse(self, request: Request, service: Service, now: float) -> bool:
        """Returns whether the queue is full or too long for the deadline."""
        state = self._state_by_service[service.name]
        if len(state.queue) >= self._core.settings.max_queue:
            return True
        durations = state.health.durations
        queued_work_s = (
            state.queue.waiting_count(WorkClass.SHORT) * durations[WorkClass.SHORT].mean_s
        )
        if request.work_class is WorkClass.LONG:
            queued_work_s += (
                state.queue.waiting_count(WorkClass.LONG) * durations[WorkClass.LONG].mean_s
            )
        slot_count = sum(server.slots for server in service.accepting_servers) or 1
        needed_s = queued_work_s / slot_count + self._execution_reserve_s(state, request)
        return now + needed_s > request.deadline_at

    def _execution_reserve_s(self, state: _ServiceState, request: Request) -> float:
        """Returns the seconds to reserve for execution and the response."""
        return state.health.durations[request.work_class].p95_s * EXECUTION_RESERVE_RATIO

    def _choose_candidate(
        self,
        request: Request,
        service: Service,
        candidates: list[Candidate],
        now: float,
    ) -> Candidate | None:
        allowed = candidates
        state = self._state_by_service[service.name]
        if (
            request.work_class is WorkClass.LONG
            and now - state.last_short_request_at < _SHORT_WORK_WINDOW_S
        ):
            allowed = self.attempts.filter_for_long_work(service, candidates)
        untried = [
            candidate for candidate in allowed if candidate.server.id not in request.tried_backends
        ]
        return self._policy.choose(untried or allowed, self._core.rng)

    def _dispatch_pinned(self, service: Service, state: _ServiceState, now: float) -> None:
        for request in state.queue.pop_pinned():
            server = service.server_by_id.get(request.pinned_backend)
            if server is None:
                request.pinned_backend = None
                state.queue.add(request)
                continue
            candidate = self.attempts.build_candidate(server, service, state.health, now)
            if candidate.load < server.slots:
                self._dispatch(request, candidate, now)
            else:
                state.queue.add(request)

    def _dispatch(self, request: Request, candidate: Candidate, now: float) -> None:
        if now >= request.deadline_at:
            self._core.counters.record_refusal(ErrorKind.LATE_WAKE)
            self._refuse(request, ErrorKind.QUEUE_EXPIRED, now)
            return
        candidate.own_attempts += 1
        self.attempts.open(request, candidate.server, is_hedge=False, now=now)
        health = self._state_by_service[request.service].health
        straggler_s = health.durations[request.work_class].straggler_threshold_s
        if request.operation.idempotent and straggler_s is not None:
            self._core.timers.schedule(now + straggler_s, lambda at: self._send_hedge(request, at))

    def _send_hedge(self, request: Request, now: float) -> None:
        """Sends a second attempt of a slow request to another free server."""
        has_one_attempt = request.stage is Stage.RUNNING and len(request.open_attempts) == 1
        service = self._core.store.service_by_name.get(request.service)
        if (
            not has_one_attempt
            or service is None
            or request.pinned_backend
            or now >= request.deadline_at
        ):
            return
        state = self._state_by_service[request.service]
        candidates = [
            candidate
            for candidate in self.attempts.find_candidates(service, state.health, now)
            if candidate.server.id not in request.tried_backends and candidate.is_free
        ]
        chosen = self._policy.choose(candidates, self._core.rng)
        if len(state.queue) or chosen is None or not state.hedge_budget.try_withdraw():
            return
        self._core.counters.record_retry(RetryReason.HEDGE)
        self.attempts.open(request, chosen.server, is_hedge=True, now=now)

    def _handle_shed(self, attempt: Attempt, now: float) -> None:
        """Handles a shed response, which proves that the server did not run the request."""
        request = attempt.request
        state = self._state_by_service[request.service]
        state.health.record_shed(attempt.server.id, now)
        request.possibly_run_attempts -= 1
        if request.stage is not Stage.RUNNING or request.open_attempts:
            return
        if request.attempt_count >= request.operation.attempts or now >= request.deadline_at:
            self._refuse(request, ErrorKind.SHED, now)
        elif state.retry_budget.try_withdraw():
            self._core.counters.record_retry(RetryReason.SHED)
            self._enqueue(request, now, is_first=True)
        else:
            self._core.counters.record_retry(RetryReason.BUDGET_EMPTY)
            self._refuse(request, ErrorKind.SHED, now)

    def _complete(self, attempt: Attempt, payload: bytes, now: float) -> None:
        request = attempt.request
        health = self._state_by_service[request.service].health
        health.record_success(attempt.server.id)
        health.durations[request.work_class].add(now - attempt.sent_at)
        for other_attempt in self.attempts.close_all(request):
            self.attempts.cancel(other_attempt)
        self._core.counters.record_traffic(Traffic.ANSWERS_RELAYED)
        is_idempotent = request.operation.idempotent
        retention_s = (
            IDEMPOTENT_RESPONSE_RETENTION_S
            if is_idempotent
            else self._core.settings.request_lifetime_s
        )
        self._finish(request, payload, retention_s, now)

    def _bind_transfer(self, attempt: Attempt, now: float) -> None:
        """Binds the further blocks of a transfer to the same backend server."""
        request = attempt.request
        service = self._core.store.service_by_name.get(request.service)
        if service is None or self._flows.is_full:
            return
        key = transfer_key(request.service, request.caller, request.coap.path)
        known = self._flows.get(key, now)
        lifetime_s = service.contract.flow_idle_s * BINDING_LIFETIME_RATIO
        expires_at = int(now + lifetime_s) + 1
        if known is not None and known.backend == attempt.server.id:
            known.expires_at = expires_at
            return
        binding = Binding(
            request.service,
            attempt.server.id,
            expires_at,
            expires_at,
            BindingRole.HOME,
        )
        self._flows.put(key, binding)
        for peer in dispatcher_and_successor(request.service, self._core.membership.eligible):
            if peer != self._core.settings.instance:
                self._core.add_row(BindingCopy, peer, self._flows.make_row(key, binding, now))

    def _refuse(self, request: Request, kind: ErrorKind, now: float) -> None:
        """Refuses a request; the response says "not run" only if a claim proves it."""
        if request.possibly_run_attempts:
            self._finish_with_error(request, ErrorKind.OUTCOME_UNKNOWN, now)
        elif request.operation.idempotent:
            request.stage = Stage.REFUSING
            self._claimant.start_claim(
                request.id,
                ClaimPurpose.REFUSE_IDEMPOTENT,
                now + REFUSAL_CLAIM_TIMEOUT_S,
                lambda claim, at: self._handle_refusal_claim(request, kind, claim, at),
                now,
            )
        else:
            self._finish_with_error(request, kind, now)

    def _handle_refusal_claim(
        self, request: Request, kind: ErrorKind, claim: Claim, now: float
    ) -> None:
        if claim.state is ClaimState.HELD:
            self._finish_with_error(request, kind, now)
        else:
            self._core.counters.record_refusal(kind)
            self._finish_with_error(request, ErrorKind.OUTCOME_UNKNOWN, now)

    def _handle_deadline(self, request: Request, now: float) -> None:
        """Ends a request that is unfinished at its deadline."""
        if request.stage is Stage.RUNNING:
            self._time_out_running(request, now)
        elif request.stage is Stage.QUEUED:
            self._refuse(request, ErrorKind.QUEUE_EXPIRED, now)
        elif request.stage is Stage.HELD_ELSEWHERE:
            self._refuse_claim_lost(request)

    def _time_out_running(self, request: Request, now: float) -> None:
        service = self._core.store.service_by_name.get(request.service)
        state = self._state_by_service[request.service]
        failure_age_s = state.health.durations[request.work_class].p95_s * FAILURE_AGE_RATIO
        for attempt in self.attempts.close_all(request):
            if service is None or now - attempt.sent_at < failure_age_s:
                continue
            if state.health.record_failure(attempt.server.id, service, now):
                self._core.counters.record_traffic(Traffic.EJECTIONS)
                detail = f'service={request.service} backend={attempt.server.id}'
                self._core.log(LogEvent.BACKEND_EJECTED, detail)
        self._finish_with_error(request, ErrorKind.OUTCOME_UNKNOWN, now)
        self.dispatch_queued(request.service, now)

    def _refuse_claim_lost(self, request: Request) -> None:
        """Sends an error response if the holder of the claim is unreachable."""
        if request.holder in self._core.membership.reachable:
            return
        self._core.counters.record_refusal(ErrorKind.CLAIM_LOST)
        payload = encode_error_for_kind(self._core.rng, request.coap, ErrorKind.CLAIM_LOST)
        action = SendToCaller(request.address, request.caller, payload)
        self._core.actions.append(action)

    def _finish_with_error(self, request: Request, kind: ErrorKind, now: float) -> None:
        self._core.counters.record_refusal(kind)
        payload = encode_error_for_kind(self._core.rng, request.coap, kind)
        self._finish(request, payload, self._core.settings.request_lifetime_s, now)

    def _finish(self, request: Request, payload: bytes, retention_s: float, now: float) -> None:
        self.table.finish(request.id, payload, retention_s, now)
        request.stage = Stage.DONE
        action = SendToCaller(request.address, request.caller, payload)
        self._core.actions.append(action)


def encode_error_for_kind(rng: Random, coap: CoapRequest, kind: ErrorKind) -> bytes:
    """Encodes the error response for an error kind.

    Args:
        rng: Randomizes Max-Age, so that callers do not all retry at once.
        coap: The request.
        kind: Why it is refused.

    Returns:
        The datagram for the caller.
    """
    response = ERROR_RESPONSE_BY_KIND[kind]
    outcome = (
        'not run' if response.execution_outcome is ExecutionOutcome.NOT_RUN else 'outcome unknown'
    )
    return encode_error_response(
        coap, response, f'{kind.value}: {outcome}', rng.randint(*_RETRY_MAX_AGE_RANGE_S)
    )
