"""Tracks attempts at backend servers: slots in use, sending, response matching."""

import math
from collections import Counter
from collections.abc import Iterator
from itertools import count

from berylstair.action import SendToBackend
from berylstair.core import Core
from berylstair.counter import Traffic
from berylstair.errors import ErrorKind
from berylstair.event import BackendDatagram
from berylstair.health import ServiceHealth
from berylstair.ids import AttemptId, BackendId, Endpoint, ServiceName
from berylstair.policy import Candidate, Policy, PolicyView
from berylstair.proxy import ATTEMPT_ID_BYTES, AttemptHeaderTemplate, Tlv, pack_header
from berylstair.record import BackendServer, WorkClass
from berylstair.request import Attempt, Request, RequestTable, Stage
from berylstair.view import Service

__all__ = ['AttemptTracker']

GUARANTEED_LONG_SLOT_RATIO = 0.1
SHORT_HEADROOM_STD_DEVIATIONS = 2.0
_MS_PER_S = 1000

BackendKey = tuple[ServiceName, BackendId]
# Service, service address, whether the caller's address is IPv6.
TemplateKey = tuple[ServiceName, Endpoint, bool]


class AttemptTracker:
    """Opens, matches and closes attempts, and counts slots in use."""

    def __init__(self, core: Core, table: RequestTable, policy: Policy) -> None:
        """Sets up a tracker without open attempts.

        Args:
            core: Shared state.
            table: Where open attempts are stored by id.
            policy: Limits the slots that this instance may use.
        """
        self.open_attempts_by_backend: Counter[BackendKey] = Counter()
        self._core = core
        self._table = table
        self._policy = policy
        self._long_attempts_by_backend: Counter[BackendKey] = Counter()
        self._last_dispatch_by_backend: Counter[BackendKey] = Counter()
        self._dispatch_numbers = count(1)
        self._template_by_key: dict[TemplateKey, AttemptHeaderTemplate] = {}

    def find_candidates(
        self, service: Service, health: ServiceHealth, now: float
    ) -> list[Candidate]:
        """Returns the backend servers that may get new work now.

        Servers in zones without a reachable instance (this one included) are
        left out, unless all usable servers are in such zones.

        Args:
            service: The service.
            health: Health of its servers.
            now: Current time in seconds.

        Returns:
            One candidate per server.
        """
        usable = [
            server for server in service.accepting_servers if health.is_usable(server.id, now)
        ]
        zones = self._reachable_zones()
        reachable = [server for server in usable if server.zone in zones]
        return [
            self.build_candidate(server, service, health, now) for server in reachable or usable
        ]

    def build_candidate(
        self,
        server: BackendServer,
        service: Service,
        health: ServiceHealth,
        now: float,
    ) -> Candidate:
        """Builds the policy's view of one backend server."""
        membership = self._core.membership
        usable_slots = health.usable_slots(server.id, server.slots, now)
        view = PolicyView(membership.own_id, membership.eligible)
        return Candidate(
            server,
            self._policy.slot_limit(server, usable_slots, view),
            self.open_attempts_by_backend[service.name, server.id],
            membership.requests_elsewhere(service.name, server.id),
            server.zone == membership.zone,
            self._last_dispatch_by_backend[service.name, server.id],
        )

    def filter_for_long_work(
        self, service: Service, candidates: list[Candidate]
    ) -> list[Candidate]:
        """Returns the candidates for long work, so that short work finds free slots.

        Long work may use all but one slot of each server, or its only slot.
        Over all servers it leaves a headroom of two standard deviations of the
        number of short attempts in progress; for Poisson arrivals the variance
        equals that number. A tenth of the slots, at least one, is available to
        long work regardless of the headroom.

        Args:
            service: The service.
            candidates: Servers that may get work.

        Returns:
            The servers that may get long work.
        """
        long_attempts_by_id = {
            candidate.server.id: self._long_attempts_by_backend[service.name, candidate.server.id]
            for candidate in candidates
        }
        long_attempt_count = sum(long_attempts_by_id.values())
        slot_count = sum(candidate.slot_limit for candidate in candidates)
        load = sum(candidate.load for candidate in candidates)
        headroom = math.ceil(
            SHORT_HEADROOM_STD_DEVIATIONS * math.sqrt(max(load - long_attempt_count, 0))
        )
        is_guaranteed_share_used = long_attempt_count >= max(
            slot_count * GUARANTEED_LONG_SLOT_RATIO, 1
        )
        if is_guaranteed_share_used and slot_count - load <= headroom:
            return []
        return [
            candidate
            for candidate in candidates
            if long_attempts_by_id[candidate.server.id] < max(candidate.server.slots - 1, 1)
        ]

    def open(
        self,
        request: Request,
        server: BackendServer,
        is_hedge: bool,
        now: float,
    ) -> Attempt:
        """Sends a request to a backend server.

        Args:
            request: A claimed request before its deadline.
            server: Where to send it.
            is_hedge: Whether this is an additional attempt while another is open.
            now: Current time in seconds.

        Returns:
            The attempt.
        """
        attempt_id = AttemptId(self._core.rng.randbytes(ATTEMPT_ID_BYTES))
        attempt = Attempt(attempt_id, request, server, now, is_hedge)
        request.stage = Stage.RUNNING
        request.attempt_count += 1
        request.possibly_run_attempts += 1
        request.tried_backends.add(server.id)
        request.open_attempts[attempt_id] = attempt
        self._table.attempt_by_id[attempt_id] = attempt
        self._adjust_counts(attempt, 1)
        self._last_dispatch_by_backend[request.service, server.id] = next(self._dispatch_numbers)
        self._core.counters.record_traffic(Traffic.ATTEMPTS)
        remaining_ms = max(int((request.deadline_at - now) * _MS_PER_S), 1)
        header = self._get_template(request).fill(request.caller, attempt_id, remaining_ms)
        self._send(attempt, header + request.datagram)
        return attempt

    def match_response(self, event: BackendDatagram) -> Attempt | None:
        """Finds the attempt that a datagram responds to.

        Args:
            event: A datagram with an attempt id.

        Returns:
            The attempt; None if no open attempt has the id, or if the server,
            the service, its address or the caller differ.
        """
        header = event.header
        attempt = self._table.attempt_by_id.get(AttemptId(header.tlvs[Tlv.ATTEMPT]))
        if attempt is None:
            self._core.counters.record_refusal(ErrorKind.UNMATCHED_ANSWER)
            return None
        request = attempt.request
        found = (event.source, header.caller, header.address, header.tlvs.get(Tlv.SERVICE))
        expected = (
            attempt.server.address,
            request.caller,
            request.address,
            request.service.encode(),
        )
        if found != expected:
            self._core.counters.record_refusal(ErrorKind.FOREIGN_ANSWER)
            return None
        return attempt

    def close(self, attempt: Attempt) -> None:
        """Frees the slot of an attempt; later responses no longer match it."""
        self._table.attempt_by_id.pop(attempt.id, None)
        if attempt.request.open_attempts.pop(attempt.id, None) is not None:
            self._adjust_counts(attempt, -1)

    def close_all(self, request: Request) -> Iterator[Attempt]:
        """Closes every open attempt of a request and yields it."""
        for attempt in list(request.open_attempts.values()):
            self.close(attempt)
            yield attempt

    def cancel(self, attempt: Attempt) -> None:
        """Tells a backend server that the response is no longer needed."""
        self._core.counters.record_traffic(Traffic.CANCELS)
        request = attempt.request
        tlvs = {
            Tlv.ATTEMPT: attempt.id,
            Tlv.CANCEL: b'\x01',
            Tlv.SERVICE: request.service.encode(),
        }
        self._send(attempt, pack_header(request.caller, request.address, tlvs))

    def _send(self, attempt: Attempt, datagram: bytes) -> None:
        self._core.actions.append(SendToBackend(attempt.server.address, datagram))

    def _get_template(self, request: Request) -> AttemptHeaderTemplate:
        key = (request.service, request.address, ':' in request.caller.ip)
        template = self._template_by_key.get(key)
        if template is None:
            service = request.service.encode()
            template = AttemptHeaderTemplate(request.caller, request.address, service)
            self._template_by_key[key] = template
        return template

    def _adjust_counts(self, attempt: Attempt, delta: int) -> None:
        key = (attempt.request.service, attempt.server.id)
        self.open_attempts_by_backend[key] += delta
        if attempt.request.work_class is WorkClass.LONG:
            self._long_attempts_by_backend[key] += delta

    def _reachable_zones(self) -> set[str]:
        membership = self._core.membership
        zones = {membership.peer_by_id[name].zone for name in membership.reachable}
        return {membership.zone, *zones}
