"""Routes the packets of opaque flows, whichever instance they arrive at.

Each flow has a home instance, the only one that binds it to a backend server,
and a successor with a copy of the binding. Any other instance forwards a packet
to the home. The home sends it to the backend server and leases the binding to
the forwarding instance, which sends further packets directly to the backend
server. A home without a binding first looks it up at other instances if the
flow may have begun before this instance started or the eligible set changed.
"""

from collections.abc import Callable
from dataclasses import dataclass, field

from berylstair.action import SendToBackend, SendToCaller
from berylstair.catalogue import LogEvent
from berylstair.core import MAX_HOPS, Core
from berylstair.counter import RetryReason, Traffic
from berylstair.errors import ErrorKind
from berylstair.flow import (
    Binding,
    BindingRole,
    FlowTable,
    choose_server,
    flow_key,
    home_and_successor,
)
from berylstair.ids import BackendId, FlowKey, InstanceId, ServiceName
from berylstair.message import (
    BindingCopy,
    BindingLease,
    BindingRow,
    FlowLookupReply,
    FlowLookupRequest,
)
from berylstair.packet import Packet
from berylstair.proxy import ProxyHeader
from berylstair.rendezvous import rank
from berylstair.view import Service

__all__ = ['FlowLookups', 'FlowRouter', 'Rehoming', 'store_binding_row']

# Lifetime and renewal interval of a binding, as ratios of the service's flow_idle_s.
BINDING_LIFETIME_RATIO = 1.5
BINDING_RENEWAL_RATIO = 0.5
LOOKUP_RESEND_INTERVAL_S = 0.06
MAX_LOOKUP_TRIES = 5
MAX_LOOKUP_PEERS = 16
_MAX_CALLBACKS_PER_LOOKUP = 16
_MAX_PENDING_LOOKUPS = 20_000
_PRUNE_INTERVAL_S = 0.25
REHOMING_STEP_INTERVAL_S = 0.05
MAX_KEYS_PER_REHOMING_STEP = 200


def store_binding_row(
    core: Core,
    table: FlowTable,
    row: BindingRow,
    role: BindingRole,
    now: float,
) -> None:
    """Stores a binding received from another instance.

    Does nothing if the service is unknown or the table has no room.

    Args:
        core: Shared state.
        table: Table to store the binding in.
        row: The binding.
        role: Role in which this instance keeps the binding.
        now: Current time in seconds.
    """
    service = core.store.service_by_name.get(ServiceName(row.service))
    key = FlowKey(row.flow_key)
    if service is None or (table.is_full and key not in table.binding_by_key):
        return
    expires_at = int(now + row.remaining_s)
    renew_at = int(now + service.contract.flow_idle_s * BINDING_RENEWAL_RATIO)
    table.put(key, Binding(service.name, BackendId(row.backend), expires_at, renew_at, role))


@dataclass(slots=True)
class _Lookup:
    """A lookup of a binding at other instances that has not ended."""

    unanswered_peers: set[InstanceId]
    tries: int = 0
    callbacks: list[Callable[[float], None]] = field(default_factory=list)


class FlowLookups:
    """Looks up at other instances which backend server a flow is bound to."""

    def __init__(self, core: Core, table: FlowTable) -> None:
        """Sets up lookups that store the bindings found in the given table."""
        self._core = core
        self._table = table
        self._lookup_by_key: dict[FlowKey, _Lookup] = {}

    def is_needed(self, idle_s: float, now: float) -> bool:
        """Returns whether another instance may have a binding that is missing here.

        That is so for one lifetime of a binding after this instance started or
        the eligible set changed, if any instance is reachable.
        """
        core = self._core
        since = max(core.started_at, core.membership.eligible_changed_at)
        return bool(core.membership.reachable) and now - since < idle_s * BINDING_LIFETIME_RATIO

    def start_lookup(self, key: FlowKey, callback: Callable[[float], None], now: float) -> None:
        """Looks up a key at other instances and calls a function afterwards.

        Asks up to ``MAX_LOOKUP_PEERS`` reachable instances. The function is
        called once one of them reports the binding or the last of those still
        reachable has replied. A lookup whose tries are used up is dropped
        without a call, and so is one beyond the limits on pending lookups.

        Args:
            key: A flow key.
            callback: Called with the current time; the table then holds the
                binding if any of the instances had it.
            now: Current time in seconds.
        """
        lookup = self._lookup_by_key.get(key)
        if lookup is None and len(self._lookup_by_key) < _MAX_PENDING_LOOKUPS:
            reachable = self._core.membership.reachable
            peers = rank(key, reachable, MAX_LOOKUP_PEERS)
            lookup = _Lookup({InstanceId(name) for name in peers})
            self._lookup_by_key[key] = lookup
            self._request_binding(key, now)
        if lookup is None or len(lookup.callbacks) >= _MAX_CALLBACKS_PER_LOOKUP:
            self._core.counters.record_refusal(ErrorKind.LOOKUP_UNANSWERED)
        else:
            lookup.callbacks.append(callback)

    def handle_flow_lookup_request(
        self, peer: InstanceId, keys: tuple[bytes, ...], now: float
    ) -> None:
        """Answers another instance's lookup from the table."""
        rows = []
        for key in keys:
            binding = self._table.get(FlowKey(key), now)
            if binding is None:
                rows.append(BindingRow(key, '', '', 0))
            else:
                rows.append(self._table.make_row(FlowKey(key), binding, now))
        self._core.send(peer, FlowLookupReply(tuple(rows)))

    def handle_flow_lookup_reply(
        self, peer: InstanceId, message: FlowLookupReply, now: float
    ) -> None:
        """Stores the bindings found and calls back for each lookup that ends."""
        for row in message.bindings:
            lookup = self._record_reply(peer, row)
            if lookup is None:
                continue
            if row.backend:
                self._core.counters.record_traffic(Traffic.FLOWS_RECOVERED)
                store_binding_row(self._core, self._table, row, BindingRole.HOME, now)
            for callback in lookup.callbacks:
                callback(now)

    def _record_reply(self, peer: InstanceId, row: BindingRow) -> _Lookup | None:
        """Records a reply and returns the lookup if it ends with it."""
        key = FlowKey(row.flow_key)
        lookup = self._lookup_by_key.get(key)
        if lookup is None:
            return None
        lookup.unanswered_peers.discard(peer)
        if not row.backend and lookup.unanswered_peers & self._core.membership.reachable:
            return None
        return self._lookup_by_key.pop(key)

    def _request_binding(self, key: FlowKey, now: float) -> None:
        lookup = self._lookup_by_key[key]
        lookup.tries += 1
        for peer in sorted(lookup.unanswered_peers):
            self._core.add_row(FlowLookupRequest, peer, key)
        self._core.timers.schedule(
            now + LOOKUP_RESEND_INTERVAL_S, lambda at: self._handle_lookup_timeout(key, lookup, at)
        )

    def _handle_lookup_timeout(self, key: FlowKey, lookup: _Lookup, now: float) -> None:
        if self._lookup_by_key.get(key) is not lookup:
            return
        lookup.unanswered_peers &= self._core.membership.reachable
        if lookup.tries >= MAX_LOOKUP_TRIES and lookup.unanswered_peers:
            self._lookup_by_key.pop(key)
            self._core.counters.record_refusal(ErrorKind.LOOKUP_UNANSWERED)
            return
        self._core.counters.record_retry(RetryReason.LOOKUP_RESEND)
        self._request_binding(key, now)


class FlowRouter:
    """Decides where each packet of a flow goes."""

    def __init__(self, core: Core, table: FlowTable, lookups: FlowLookups) -> None:
        """Sets up the router and schedules the removal of expired bindings."""
        self._core = core
        self._table = table
        self._lookups = lookups
        core.timers.schedule(core.started_at + _PRUNE_INTERVAL_S, self._prune_expired_bindings)

    def route(self, packet: Packet, now: float) -> None:
        """Sends a packet to its backend server or forwards it to the home of its flow.

        Args:
            packet: Packet from the network fabric or forwarded by another instance.
            now: Current time in seconds.
        """
        key = flow_key(packet.service.name, packet.caller)
        binding = self._find_usable_binding(key, packet.service, now)
        if binding is not None and self._is_current(binding, packet, now):
            self._send_to_backend(key, binding, packet, now)
            return
        home = home_and_successor(key, self._core.membership.eligible)[:1]
        if home and home[0] != self._core.settings.instance and packet.hops < MAX_HOPS:
            self._core.forward(
                home[0],
                packet.service,
                packet.caller,
                packet.address,
                packet.payload,
                packet.hops,
            )
        elif binding is None:
            self._resolve_and_relay(key, packet, now)
        else:
            self._take_over_as_home(key, binding, packet, now)

    def relay_answer(self, header: ProxyHeader, payload: bytes) -> None:
        """Sends a backend server's answer to the caller."""
        self._core.counters.record_traffic(Traffic.ANSWERS_RELAYED)
        action = SendToCaller(header.address, header.caller, payload)
        self._core.actions.append(action)

    def handle_binding_lease(self, message: BindingLease, now: float) -> None:
        """Stores leased bindings, except those kept here as home or successor."""
        for row in message.bindings:
            known = self._table.get(FlowKey(row.flow_key), now)
            if known is None or known.role is BindingRole.LEASE:
                store_binding_row(self._core, self._table, row, BindingRole.LEASE, now)

    def handle_binding_copy(self, message: BindingCopy, now: float) -> None:
        """Stores copies of bindings as their successor or new home."""
        own = self._core.settings.instance
        for row in message.bindings:
            key = FlowKey(row.flow_key)
            known = self._table.get(key, now)
            if known is not None and known.role is BindingRole.HOME:
                continue
            home = home_and_successor(key, self._core.membership.eligible)[:1]
            role = BindingRole.HOME if home == [own] else BindingRole.SUCCESSOR
            store_binding_row(self._core, self._table, row, role, now)

    def _find_usable_binding(self, key: FlowKey, service: Service, now: float) -> Binding | None:
        binding = self._table.get(key, now)
        if binding is None or binding.backend not in service.server_by_id:
            return None
        return binding

    def _is_current(self, binding: Binding, packet: Packet, now: float) -> bool:
        if binding.role is BindingRole.HOME:
            return True
        return packet.sender is None and now < binding.renew_at

    def _take_over_as_home(
        self,
        key: FlowKey,
        binding: Binding,
        packet: Packet,
        now: float,
    ) -> None:
        """Makes this instance the home of a flow whose binding it has in another role."""
        self._table.set_role(binding, BindingRole.HOME)
        binding.renew_at = int(now)
        self._send_to_backend(key, binding, packet, now)

    def _resolve_and_relay(self, key: FlowKey, packet: Packet, now: float) -> None:
        if not self._lookups.is_needed(packet.service.contract.flow_idle_s, now):
            self._bind_and_relay(key, packet, now)
            return
        self._lookups.start_lookup(key, lambda at: self._bind_and_relay(key, packet, at), now)

    def _bind_and_relay(self, key: FlowKey, packet: Packet, now: float) -> None:
        binding = self._find_usable_binding(key, packet.service, now) or self._create_binding(
            key, packet, now
        )
        if binding is not None:
            self._send_to_backend(key, binding, packet, now)

    def _create_binding(self, key: FlowKey, packet: Packet, now: float) -> Binding | None:
        if self._table.is_full:
            self._core.counters.record_refusal(ErrorKind.FLOW_TABLE_FULL)
            return None
        service = packet.service
        server = choose_server(key, service, self._count_flows_by_backend(service))
        if server is None:
            self._core.counters.record_refusal(ErrorKind.NO_BACKEND)
            return None
        self._core.counters.record_traffic(Traffic.FLOWS_BOUND)
        binding = Binding(service.name, server.id, 0, int(now), BindingRole.HOME)
        self._table.put(key, binding)
        return binding

    def _count_flows_by_backend(self, service: Service) -> dict[BackendId, int]:
        counts = {
            server.id: self._table.home_count_by_backend.get((service.name, server.id), 0)
            for server in service.accepting_servers
        }
        for peer in self._core.membership.peer_by_id.values():
            for row in peer.load:
                if row.service == service.name and row.backend in counts:
                    counts[BackendId(row.backend)] += row.flows
        return counts

    def _send_to_backend(self, key: FlowKey, binding: Binding, packet: Packet, now: float) -> None:
        service = packet.service
        if binding.role is BindingRole.HOME:
            self._renew_binding(key, binding, packet, now)
        server = service.server_by_id[binding.backend]
        header = self._core.pack_header(service.name, packet.caller, packet.address)
        action = SendToBackend(server.address, header + packet.payload)
        self._core.actions.append(action)

    def _renew_binding(self, key: FlowKey, binding: Binding, packet: Packet, now: float) -> None:
        """Extends a binding at its home, its copy and the lease of the forwarding instance."""
        idle_s = packet.service.contract.flow_idle_s
        binding.expires_at = int(now + idle_s * BINDING_LIFETIME_RATIO) + 1
        if now >= binding.renew_at:
            binding.renew_at = int(now + idle_s * BINDING_RENEWAL_RATIO)
            self._send_copies(key, binding, now)
        if packet.sender is not None:
            row = self._table.make_row(key, binding, now)
            self._core.add_row(BindingLease, packet.sender, row)

    def _send_copies(self, key: FlowKey, binding: Binding, now: float) -> None:
        own = self._core.settings.instance
        for peer in home_and_successor(key, self._core.membership.eligible):
            if peer != own:
                self._core.add_row(BindingCopy, peer, self._table.make_row(key, binding, now))

    def _prune_expired_bindings(self, now: float) -> None:
        self._table.prune_expired(now)
        self._core.timers.schedule(now + _PRUNE_INTERVAL_S, self._prune_expired_bindings)


class Rehoming:
    """Sends bindings to their new home and successor after the eligible set has changed."""

    def __init__(self, core: Core, table: FlowTable) -> None:
        """Sets up rehoming; the current bindings count as placed by the current eligible set."""
        self._core = core
        self._table = table
        self._former_eligible: tuple[InstanceId, ...] = core.membership.eligible
        self._remaining_keys: list[FlowKey] = []
        self._is_running = False

    @property
    def is_done(self) -> bool:
        """Whether every binding has been placed by the current eligible set."""
        return not self._is_running and self._former_eligible == self._core.membership.eligible

    def start_if_needed(self, now: float) -> None:
        """Starts a pass over the table if the eligible set has changed."""
        eligible = self._core.membership.eligible
        if self._is_running or eligible == self._former_eligible:
            return
        self._is_running = True
        self._remaining_keys = self._table.home_and_successor_keys()
        if self._remaining_keys:
            self._core.log(LogEvent.REHOMING, f'bindings={len(self._remaining_keys)}')
        self._rehome_batch(self._former_eligible, eligible, now)

    def _rehome_batch(
        self,
        former: tuple[InstanceId, ...],
        eligible: tuple[InstanceId, ...],
        now: float,
    ) -> None:
        for _ in range(min(MAX_KEYS_PER_REHOMING_STEP, len(self._remaining_keys))):
            self._rehome_binding(self._remaining_keys.pop(), former, eligible, now)
        if self._remaining_keys:
            self._core.timers.schedule(
                now + REHOMING_STEP_INTERVAL_S,
                lambda at: self._rehome_batch(former, eligible, at),
            )
            return
        self._is_running = False
        self._former_eligible = eligible
        self.start_if_needed(now)

    def _rehome_binding(
        self,
        key: FlowKey,
        former: tuple[InstanceId, ...],
        eligible: tuple[InstanceId, ...],
        now: float,
    ) -> None:
        binding = self._table.get(key, now)
        if binding is None or binding.role is BindingRole.LEASE:
            return
        new_replicas = home_and_successor(key, eligible)
        added_replicas = (
            set(new_replicas)
            - set(home_and_successor(key, former))
            - {self._core.settings.instance}
        )
        for peer in sorted(added_replicas):
            self._core.add_row(BindingCopy, peer, self._table.make_row(key, binding, now))
        self._table.set_role(binding, self._own_role(new_replicas))

    def _own_role(self, new_replicas: list[InstanceId]) -> BindingRole:
        own = self._core.settings.instance
        if own not in new_replicas:
            return BindingRole.LEASE
        return BindingRole.HOME if new_replicas[0] == own else BindingRole.SUCCESSOR
