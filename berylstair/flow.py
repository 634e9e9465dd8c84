"""Bindings of flows to backend servers, and the instances that keep them."""

import math
from collections.abc import Iterator
from dataclasses import dataclass
from enum import Enum, unique
from socket import AF_INET, AF_INET6, inet_pton

from berylstair.ids import BackendId, Endpoint, FlowKey, InstanceId, ServiceName
from berylstair.message import BindingRow
from berylstair.record import BackendServer
from berylstair.rendezvous import rank, weighted_rank
from berylstair.view import Service

__all__ = [
    'Binding',
    'BindingRole',
    'FlowTable',
    'choose_server',
    'dispatcher_and_successor',
    'flow_key',
    'home_and_successor',
    'transfer_key',
]

REPLICA_COUNT = 2
_FLOW_KEY_PREFIX = b'f'
_TRANSFER_KEY_PREFIX = b't'
_MAX_LOAD_RATIO = 1.1


@unique
class BindingRole(Enum):
    """Role in which an instance keeps a binding.

    HOME: it alone binds the flow and renews the binding. SUCCESSOR: it has a copy.
    LEASE: it may use the binding until it has to renew it at the home.
    """

    HOME = 'home'
    SUCCESSOR = 'successor'
    LEASE = 'lease'


class Binding:
    """Binds a flow to a backend server.

    Attributes:
        service: Name of the service.
        backend: Id of the backend server.
        expires_at: When the binding expires unless a packet of the flow
            extends it, in whole seconds.
        renew_at: When a lease has to be renewed at the home, or the home has
            to renew the copy at the successor, in whole seconds.
        role: Role in which this instance keeps the binding.
    """

    __slots__ = ('backend', 'expires_at', 'renew_at', 'role', 'service')

    def __init__(
        self,
        service: ServiceName,
        backend: BackendId,
        expires_at: int,
        renew_at: int,
        role: BindingRole,
    ) -> None:
        """Sets the attributes described above."""
        self.service = service
        self.backend = backend
        self.expires_at = expires_at
        self.renew_at = renew_at
        self.role = role


@dataclass(frozen=True, slots=True)
class _TableLimits:
    """Limits of a flow table.

    Attributes:
        max_flows: Maximum number of bindings stored.
        min_prune_steps: Minimum number of bindings examined per call of
            ``prune_expired``.
        prune_divisor: A call examines the number of bindings divided by
            this, if that is more.
    """

    max_flows: int
    min_prune_steps: int = 64
    prune_divisor: int = 100


class FlowTable:
    """Bindings by flow key, bounded in number; expired ones are removed."""

    def __init__(self, max_flows: int) -> None:
        """Sets up a table without bindings.

        Args:
            max_flows: Number of bindings from which on the table is full.
        """
        self.binding_by_key: dict[FlowKey, Binding] = {}
        self.home_count_by_backend: dict[tuple[ServiceName, BackendId], int] = {}
        self._limits = _TableLimits(max_flows)
        self._prune_cursor: Iterator[FlowKey] = iter(())

    def __len__(self) -> int:
        """Returns the number of bindings."""
        return len(self.binding_by_key)

    @property
    def is_full(self) -> bool:
        """Whether the table has reached its limit."""
        return len(self.binding_by_key) >= self._limits.max_flows

    def get(self, key: FlowKey, now: float) -> Binding | None:
        """Returns the binding of a key, None if there is none or it has expired."""
        binding = self.binding_by_key.get(key)
        if binding is None or binding.expires_at <= now:
            return None
        return binding

    def put(self, key: FlowKey, binding: Binding) -> None:
        """Stores a binding, replacing any older one of the key."""
        self.remove(key)
        self.binding_by_key[key] = binding
        self._adjust_home_count(binding, 1)

    def remove(self, key: FlowKey) -> None:
        """Removes the binding of a key, if there is one."""
        binding = self.binding_by_key.pop(key, None)
        if binding is not None:
            self._adjust_home_count(binding, -1)

    def set_role(self, binding: Binding, role: BindingRole) -> None:
        """Changes the role of a stored binding."""
        self._adjust_home_count(binding, -1)
        binding.role = role
        self._adjust_home_count(binding, 1)

    def make_row(self, key: FlowKey, binding: Binding, now: float) -> BindingRow:
        """Returns a binding as a row of a message to a peer."""
        remaining_s = max(int(binding.expires_at - now), 1)
        return BindingRow(key, binding.service, binding.backend, remaining_s)

    def home_and_successor_keys(self) -> list[FlowKey]:
        """Returns the keys that this instance keeps as home or successor."""
        return [
            key
            for key, binding in self.binding_by_key.items()
            if binding.role is not BindingRole.LEASE
        ]

    def prune_expired(self, now: float) -> None:
        """Removes expired bindings, examining a bounded number per call."""
        try:
            steps = len(self.binding_by_key) // self._limits.prune_divisor
            for _ in range(max(steps, self._limits.min_prune_steps)):
                key = next(self._prune_cursor)
                if self.binding_by_key[key].expires_at <= now:
                    self.remove(key)
        except (StopIteration, RuntimeError, KeyError):
            self._prune_cursor = iter(list(self.binding_by_key))

    def _adjust_home_count(self, binding: Binding, delta: int) -> None:
        if binding.role is BindingRole.HOME:
            backend_key = (binding.service, binding.backend)
            self.home_count_by_backend[backend_key] = (
                self.home_count_by_backend.get(backend_key, 0) + delta
            )


def flow_key(service: ServiceName, caller: Endpoint) -> FlowKey:
    """Builds the key of an opaque flow.

    Args:
        service: Name of the service; with it, an address that is reused by
            another service cannot match an old binding.
        caller: Source address of the packets.

    Returns:
        A prefix byte, the length of the name, the name and the packed address.
    """
    return FlowKey(_FLOW_KEY_PREFIX + _pack_service_and_caller(service, caller))


def transfer_key(service: ServiceName, caller: Endpoint, path: str) -> FlowKey:
    """Builds the key of a block-wise transfer.

    Args:
        service: Name of the service.
        caller: Source address of the requests.
        path: Path of the resource.

    Returns:
        A key whose home is the dispatcher of the service.
    """
    return FlowKey(_TRANSFER_KEY_PREFIX + _pack_service_and_caller(service, caller) + path.encode())


def home_and_successor(key: FlowKey, eligible: tuple[InstanceId, ...]) -> list[InstanceId]:
    """Returns the home of a flow and its successor.

    Args:
        key: Flow key.
        eligible: Reachable instances that are not in a planned stop.

    Returns:
        At most two instances, the home first.
    """
    ranked_key = key[2 : 2 + key[1]] if key.startswith(_TRANSFER_KEY_PREFIX) else key
    return [InstanceId(name) for name in rank(ranked_key, eligible, REPLICA_COUNT)]


def dispatcher_and_successor(
    service: ServiceName, eligible: tuple[InstanceId, ...]
) -> list[InstanceId]:
    """Returns the dispatcher of a service and its successor."""
    return [InstanceId(name) for name in rank(service.encode(), eligible, REPLICA_COUNT)]


def _pack_service_and_caller(service: ServiceName, caller: Endpoint) -> bytes:
    family = AF_INET6 if ':' in caller.ip else AF_INET
    name = service.encode()
    packed = inet_pton(family, caller.ip) + caller.port.to_bytes(2, 'big')
    return bytes((len(name),)) + name + packed


def choose_server(
    key: FlowKey,
    service: Service,
    flows_by_backend: dict[BackendId, int],
) -> BackendServer | None:
    """Chooses the backend server of a new flow.

    The first choice is the same at every instance. A server is skipped only if one
    more flow would take it over its share by weight, with a tolerance, or over
    its connection limit (rendezvous hashing with bounded loads). If all are
    skipped, the first choice is taken.

    Args:
        key: Flow key.
        service: The service.
        flows_by_backend: Known open flows by backend server.

    Returns:
        The backend server, None if no server accepts new flows.
    """
    accepting = service.accepting_servers
    if not accepting:
        return None
    names = [server.id for server in accepting]
    ranked = weighted_rank(key, names, [server.weight for server in accepting])
    total = sum(flows_by_backend.get(server.id, 0) for server in accepting) + 1
    weight = sum(server.weight for server in accepting)
    for name in ranked:
        server = service.server_by_id[BackendId(name)]
        fair_share = total * server.weight / weight
        max_flows = min(
            max(fair_share * _MAX_LOAD_RATIO, math.ceil(fair_share)), server.connections
        )
        if flows_by_backend.get(server.id, 0) + 1 <= max_flows:
            return server
    return service.server_by_id[BackendId(ranked[0])]
