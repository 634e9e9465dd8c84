"""Records that operators publish: services with their contracts, and entry instances."""

from dataclasses import dataclass
from enum import Enum, unique

from berylstair.ids import BackendId, Endpoint, InstanceId, ServiceName, ZoneId

__all__ = [
    'BackendServer',
    'BackendState',
    'Contract',
    'ContractKind',
    'Instance',
    'InstancesRecord',
    'Operation',
    'Record',
    'RecordKey',
    'RecordKind',
    'RecordVersion',
    'ServiceRecord',
    'WorkClass',
]

RecordKey = str
"""``service/NAME`` or ``instances``."""


@unique
class RecordKind(Enum):
    """Kind of a record."""

    SERVICE = 'service'
    INSTANCES = 'instances'


@unique
class ContractKind(Enum):
    """How packets to a service address are handled: as opaque flows or as CoAP requests."""

    FLOW = 'flow'
    REQUEST = 'request'


@unique
class WorkClass(Enum):
    """Expected run time of a request; short requests normally go before long ones."""

    SHORT = 'short'
    LONG = 'long'


@unique
class BackendState(Enum):
    """Published state of a backend server."""

    ACTIVE = 'active'
    LEAVING = 'leaving'


@dataclass(frozen=True, slots=True)
class Operation:
    """Rule for the requests with one method and path prefix.

    Attributes:
        method: ``GET``, ``POST``, ``PUT``, ``DELETE``, ``FETCH``, ``PATCH``,
            ``iPATCH`` or ``*``.
        path: Path prefix, matched by whole path segments.
        idempotent: Whether running the request again has no further effect.
        work: Expected run time, short or long.
        deadline_ms: Milliseconds from arrival after which a response is of no use.
        attempts: Maximum number of backend servers tried, not counting hedges.
    """

    method: str
    path: str
    idempotent: bool
    work: WorkClass
    deadline_ms: int
    attempts: int


@dataclass(frozen=True, slots=True)
class Contract:
    """How the packets of a service are handled.

    Attributes:
        kind: Opaque flows or CoAP requests.
        flow_idle_s: Seconds without a packet after which a flow has ended.
        deadline_ms: Default deadline of a request in milliseconds.
        operations: Rules for requests; the first match applies.
    """

    kind: ContractKind
    flow_idle_s: float
    deadline_ms: int
    operations: tuple[Operation, ...] = ()


@dataclass(frozen=True, slots=True)
class BackendServer:
    """One backend server of a service."""

    id: BackendId
    zone: ZoneId
    address: Endpoint
    slots: int
    connections: int
    weight: float
    state: BackendState

    @property
    def is_accepting(self) -> bool:
        """Whether new requests and flows may be sent to the server."""
        return self.state is BackendState.ACTIVE


@dataclass(frozen=True, slots=True)
class RecordVersion:
    """Version of a record; of equal versions, the one of the higher schema is newer."""

    version: int
    schema: int

    def is_newer_than(self, other: 'RecordVersion') -> bool:
        """Returns whether this version replaces the other."""
        return (self.version, self.schema) > (other.version, other.schema)


@dataclass(frozen=True, slots=True)
class ServiceRecord:
    """A service: its addresses, contract and backend servers.

    Attributes:
        quarantine_s: Seconds for which an address that another service used
            before is not served for this one.
    """

    version: RecordVersion
    name: ServiceName
    addresses: tuple[Endpoint, ...]
    contract: Contract
    backend_servers: tuple[BackendServer, ...]
    quarantine_s: float

    @property
    def key(self) -> RecordKey:
        """Key of the record."""
        return f'service/{self.name}'


@dataclass(frozen=True, slots=True)
class Instance:
    """One entry instance in the instances record.

    Attributes:
        peer: TCP endpoint for WebSocket connections between instances.
        forward: UDP endpoint for datagrams forwarded by other instances.
        admin: TCP endpoint for status and metrics.
        leaving: Whether the platform is about to remove the instance.
    """

    id: InstanceId
    zone: ZoneId
    peer: Endpoint
    forward: Endpoint
    admin: Endpoint
    leaving: bool = False


@dataclass(frozen=True, slots=True)
class InstancesRecord:
    """The published list of entry instances."""

    version: RecordVersion
    instances: tuple[Instance, ...]

    @property
    def key(self) -> RecordKey:
        """Key of the record."""
        return 'instances'


Record = ServiceRecord | InstancesRecord
