"""Status of an entry instance, and explanation of where it would send a packet."""

from dataclasses import dataclass

from berylstair.flow import dispatcher_and_successor, flow_key, home_and_successor
from berylstair.ids import Endpoint, ServiceName
from berylstair.instance import EntryInstance
from berylstair.record import ContractKind
from berylstair.rendezvous import rank

__all__ = [
    'BackendStatus',
    'Explanation',
    'RecordStatus',
    'Status',
    'explain',
    'is_source_reader',
    'read_status',
]

SOURCE_READERS_PER_ZONE = 2


@dataclass(frozen=True, slots=True)
class RecordStatus:
    """One record in force."""

    key: str
    version: int
    schema: int
    digest: str
    has_conflict: bool


@dataclass(frozen=True, slots=True)
class BackendStatus:
    """One backend server as this instance sees it."""

    service: str
    backend: str
    zone: str
    state: str
    slots: int
    requests: int
    requests_elsewhere: int
    flows: int


@dataclass(frozen=True, slots=True)
class Status:
    """State of one instance at one moment."""

    instance: str
    zone: str
    incarnation: int
    is_ready: bool
    is_leaving: bool
    is_witness: bool
    list_version: int
    open_flows: int
    requests_in_progress: int
    records: tuple[RecordStatus, ...]
    admin_by_instance: dict[str, str]
    peers_reachable: tuple[str, ...]
    backend_servers: tuple[BackendStatus, ...]
    refusals: dict[str, int]
    retries: dict[str, int]
    traffic: dict[str, int]


@dataclass(frozen=True, slots=True)
class Explanation:
    """Where a caller's packet to an address would go, and why."""

    address: str
    caller: str
    service: str
    contract: str
    handled_by: tuple[str, ...]
    backend: str
    reason: str


def read_status(instance: EntryInstance, now: float) -> Status:
    """Returns the status of an instance.

    Args:
        instance: The entry instance.
        now: Current time in seconds.

    Returns:
        The status at this time.
    """
    core = instance.core
    counters = core.counters
    return Status(
        instance=core.settings.instance,
        zone=core.settings.zone,
        incarnation=core.settings.incarnation,
        is_ready=instance.is_ready(now),
        is_leaving=core.membership.is_leaving,
        is_witness=instance.witness_roles.own_witness is not None
        and instance.witness_roles.own_witness.is_granting(now),
        list_version=core.instance_lists.version,
        open_flows=len(instance.flow_table),
        requests_in_progress=instance.dispatcher.table.unfinished_count,
        records=_record_statuses(instance),
        admin_by_instance={
            name: str(listed.admin) for name, listed in core.store.instance_by_id.items()
        },
        peers_reachable=tuple(sorted(core.membership.reachable)),
        backend_servers=_backend_statuses(instance),
        refusals={kind.value: count for kind, count in counters.refusals.items()},
        retries={reason.value: count for reason, count in counters.retries.items()},
        traffic={kind.value: count for kind, count in counters.traffic.items()},
    )


def explain(
    instance: EntryInstance,
    address: Endpoint,
    caller: Endpoint,
    now: float,
) -> Explanation:
    """Returns where a caller's packet to a service address would go.

    Args:
        instance: The entry instance that is queried.
        address: Service address.
        caller: Source address of the packet.
        now: Current time in seconds.

    Returns:
        The instances that handle it, the backend server if known, and the reason.
    """
    core = instance.core
    service = core.store.service_by_address.get(address)
    if service is None:
        reason = 'no record in force lists the address, or more than one does'
        return Explanation(str(address), str(caller), '', '', (), '', reason)
    eligible = core.membership.eligible
    kind = service.contract.kind
    key = flow_key(service.name, caller)
    if core.store.is_quarantined(address, now):
        handled_by, backend, reason = [], '', 'the address rests after another service used it'
    elif kind is ContractKind.REQUEST:
        handled_by = dispatcher_and_successor(service.name, eligible)
        backend, reason = '', 'the first named dispatches to the least loaded free server'
    else:
        handled_by = home_and_successor(key, eligible)
        binding = instance.flow_table.get(key, now)
        backend = binding.backend if binding else ''
        reason = 'bound' if binding else 'not known here; the first named binds it or knows it'
    return Explanation(
        str(address),
        str(caller),
        service.name,
        kind.value,
        tuple(handled_by),
        backend,
        reason,
    )


def is_source_reader(instance: EntryInstance) -> bool:
    """Returns whether this instance is a source reader, which watches the source for its zone."""
    membership = instance.core.membership
    zone_by_id = {peer.id: peer.zone for peer in membership.peer_by_id.values()}
    zone_instances = [
        name
        for name in membership.eligible
        if zone_by_id.get(name, membership.zone) == membership.zone
    ]
    return membership.own_id in rank(
        membership.zone.encode(), zone_instances, SOURCE_READERS_PER_ZONE
    )


def _record_statuses(instance: EntryInstance) -> tuple[RecordStatus, ...]:
    store = instance.core.store
    return tuple(
        RecordStatus(
            row.key,
            row.version,
            row.schema,
            row.digest.hex(),
            row.key in store.conflicting_digest_by_key,
        )
        for row in store.rows()
    )


def _backend_statuses(instance: EntryInstance) -> tuple[BackendStatus, ...]:
    core = instance.core
    open_requests_by_backend = instance.dispatcher.attempts.open_attempts_by_backend
    flow_count_by_backend = instance.flow_table.home_count_by_backend
    statuses = []
    for name, service in sorted(core.store.service_by_name.items()):
        for server in service.record.backend_servers:
            backend_key = (ServiceName(name), server.id)
            statuses.append(
                BackendStatus(
                    name,
                    server.id,
                    server.zone,
                    server.state.value,
                    server.slots,
                    open_requests_by_backend.get(backend_key, 0),
                    core.membership.requests_elsewhere(name, server.id),
                    flow_count_by_backend.get(backend_key, 0),
                ),
            )
    return tuple(statuses)
