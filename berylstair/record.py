"""Records as the operators publish them: services, contracts, instances."""

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
    """Kinds of record."""

    SERVICE = 'service'
    INSTANCES = 'instances'


@unique
class ContractKind(Enum):
    """How packets to a service address are treated."""

    FLOW = 'flow'
    REQUEST = 'request'


@unique
class WorkClass(Enum):
    """Expected length of a request; short goes before long."""

    SHORT = 'short'
    LONG = 'long'


@unique
class BackendState(Enum):
    """Published state of a backend server."""

    ACTIVE = 'active'
    LEAVING = 'leaving'


@dataclass(frozen=True, slots=True)
class Operation:
    """Rule for the requests of one method below one path.

    Attributes:
        method: ``GET``, ``POST``, ``PUT``, ``DELETE``, ``FETCH``, ``PATCH``,
            ``iPATCH`` or ``*``.
        path: Path prefix, matched by whole segments.
        idempotent: Whether a second run changes nothing.
        work: Short or long.
        deadline_ms: Time from arrival to the end of usefulness.
        attempts: Most backend servers tried, hedges not counted.
    """

    method: str
    path: str
    idempotent: bool
    work: WorkClass
    deadline_ms: int
    attempts: int


@dataclass(frozen=True, slots=True)
class Contract:
    """What a service promises about its packets.

    Attributes:
        kind: Opaque flow or CoAP requests.
        flow_idle_s: Seconds without a packet after which a flow has ended.
        deadline_ms: Default deadline of a request.
        operations: Rules, first match wins.
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
        """True while new work may be sent to it."""
        return self.state is BackendState.ACTIVE


@dataclass(frozen=True, slots=True)
class RecordVersion:
    """Order of the records under one key; the schema breaks ties."""

    version: int
    schema: int

    def is_newer_than(self, other: 'RecordVersion') -> bool:
        """Tells whether this version replaces the other."""
        return (self.version, self.schema) > (other.version, other.schema)


@dataclass(frozen=True, slots=True)
class ServiceRecord:
    """A service: its addresses, contract and backend servers.

    Attributes:
        quarantine_s: Seconds for which an address that another service used
            before is not served.
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
    """One entry instance as published.

    Attributes:
        peer: TCP endpoint for websockets between instances.
        forward: UDP endpoint for datagrams forwarded by other instances.
        admin: TCP endpoint for status and metrics.
        leaving: True where the platform is about to take it away.
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
