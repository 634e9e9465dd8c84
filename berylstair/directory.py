"""Routes and backend servers in force, versioned by the revision of their source."""

import math
from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import NamedTuple

from berylstair.ids import BackendId, Endpoint, ServiceName
from berylstair.record import BackendServer
from berylstair.tag import tag_of

__all__ = [
    'Configuration',
    'ConfigurationPublished',
    'DecodedChange',
    'Directory',
    'Route',
    'ServerListed',
    'ServerRegistration',
    'ServerRemoved',
    'SourceChange',
]

# A removed server is kept this much longer than its last flow may last.
REMOVED_SERVER_MARGIN_S = 15.0


class SourceChange(NamedTuple):
    """A change as the source wrote it; peers forward it in this form.

    Attributes:
        key: Key of the item that changed.
        revision: Revision of the source with this change.
        value: New content, None if the item was removed.
    """

    key: str
    revision: int
    value: bytes | None


class ServerRegistration(NamedTuple):
    """A backend server as it registered itself.

    Attributes:
        started_at_ms: Start time of its process in ms since 1970, 0 if unknown;
            a restarted server has lost its earlier flows.
        warmup_left_s: Seconds of warm-up, during which the server is slower,
            that were left when it registered.
    """

    server: BackendServer
    service: ServiceName
    started_at_ms: int = 0
    warmup_left_s: float = 0.0


class Route(NamedTuple):
    """Services that get the new flows of one address, and properties of its requests.

    Attributes:
        weight_by_service: Shares of new flows; usually a single service.
        is_idempotent: Whether a request may run twice.
        timeout_s: Seconds after which a request is of no use any more.
        latency_target_s: Latency objective in seconds.
        priority: 0 is the highest.
    """

    name: str
    address: Endpoint
    weight_by_service: dict[ServiceName, float]
    is_idempotent: bool
    timeout_s: float
    latency_target_s: float
    priority: int


class Configuration(NamedTuple):
    """All routes of one published version."""

    version: int
    route_by_address: dict[Endpoint, Route]
    idle_timeout_s: float


class ServerListed(NamedTuple):
    """A server registered or changed its entry."""

    registration: ServerRegistration


class ServerRemoved(NamedTuple):
    """A server's entry was removed, or describes no usable server."""

    backend: BackendId


class ConfigurationPublished(NamedTuple):
    """The operator published a configuration."""

    configuration: Configuration


DecodedChange = ServerListed | ServerRemoved | ConfigurationPublished


@dataclass(slots=True)
class _ServerEntry:
    """A server and whether its entry is still registered.

    Attributes:
        warmup_until: When the server is expected to reach full speed.
        removed_at: When its entry was removed, None while it is registered.
        accepts_until: Until when a removed server may still get new flows.
    """

    registration: ServerRegistration
    warmup_until: float
    removed_at: float | None = None
    accepts_until: float = 0.0


@dataclass(slots=True)
class _ServicePool:
    """Servers of one service, with the accepting ones precomputed for the packet path.

    Attributes:
        accepting: Servers that may get new flows.
        recompute_at: When the next removed server stops accepting flows.
    """

    accepting: tuple[BackendServer, ...] = ()
    recompute_at: float = math.inf
    entry_by_id: dict[BackendId, _ServerEntry] = field(default_factory=dict)


class Directory:
    """Holds the newest content of each key and never reverts to an older one.

    Changes may arrive from the source and from peers, in any order: of two
    with the same key the higher revision wins.
    """

    def __init__(self) -> None:
        """Creates an empty directory at revision 0."""
        self.revision = 0
        self.configuration: Configuration | None = None
        self.routed_services_by_address: dict[Endpoint, set[ServiceName]] = {}
        self._revision_by_key: dict[str, int] = {}
        self._change_by_key: dict[str, SourceChange] = {}
        self._pool_by_service: dict[ServiceName, _ServicePool] = {}
        self._entry_by_id: dict[BackendId, _ServerEntry] = {}
        self._entries_by_tag: dict[int, dict[BackendId, _ServerEntry]] = {}

    def find_change(self, key: str) -> SourceChange | None:
        """Returns the change held under a key."""
        return self._change_by_key.get(key)

    def is_new(self, source_change: SourceChange) -> bool:
        """Returns whether a change is newer than what is held under its key."""
        return source_change.revision > self._revision_by_key.get(source_change.key, 0)

    def apply(
        self, source_change: SourceChange, change: DecodedChange | None, now: float, grace_s: float
    ) -> bool:
        """Applies a change if it is newer than what is held under its key.

        Args:
            source_change: The change as the source wrote it.
            change: The same change decoded; None for a key that is not used.
            now: Current time in seconds.
            grace_s: Seconds for which a removed server may still get new flows.

        Returns:
            Whether it was newer than what was held.
        """
        if not self.is_new(source_change):
            return False
        self._revision_by_key[source_change.key] = source_change.revision
        self._change_by_key[source_change.key] = source_change
        if isinstance(change, ServerListed):
            self._add_server(change.registration, now)
        elif isinstance(change, ServerRemoved):
            self._remove_server(change.backend, now, grace_s)
        elif isinstance(change, ConfigurationPublished):
            self._apply_configuration(change.configuration)
        return True

    def advance_revision(self, revision: int) -> None:
        """Records that every change up to a revision has been applied."""
        self.revision = max(self.revision, revision)

    def keys_absent_from(self, keys: Iterable[str], revision: int) -> list[str]:
        """Returns the keys held here that a complete listing lacks.

        Args:
            keys: Keys of the listing.
            revision: Revision at which the listing began; keys that changed
                later are not returned.
        """
        listed = set(keys)
        return [
            key
            for key, change in self._change_by_key.items()
            if change.value is not None and key not in listed and change.revision <= revision
        ]

    def changes_after(self, revision: int) -> list[SourceChange]:
        """Returns the changes after a revision, oldest first, to send them to a peer."""
        newer = [change for change in self._change_by_key.values() if change.revision > revision]
        return sorted(newer, key=lambda change: change.revision)

    def find_route(self, address: Endpoint) -> Route | None:
        """Returns the route of a service address, None if none is in force."""
        configuration = self.configuration
        return configuration.route_by_address.get(address) if configuration else None

    def accepting_servers(self, service: ServiceName, now: float) -> tuple[BackendServer, ...]:
        """Returns the servers of a service that may get new flows."""
        pool = self._pool_by_service.get(service)
        if pool is None:
            return ()
        if now >= pool.recompute_at:
            self._recompute_accepting(service, now)
        return pool.accepting

    def warmup_left_s(self, backend: BackendId, now: float) -> float:
        """Returns the seconds until a server is expected to reach full speed."""
        entry = self._entry_by_id.get(backend)
        return max(entry.warmup_until - now, 0) if entry else 0

    def started_at_ms(self, backend: BackendId) -> int:
        """Returns the start time of the server's process in ms since 1970, 0 if unknown."""
        entry = self._entry_by_id.get(backend)
        return entry.registration.started_at_ms if entry else 0

    def find_by_tag(self, tag: int, address: Endpoint) -> ServerRegistration | None:
        """Returns the server that a tag stands for on a service address.

        If servers share the tag, one whose service has been routed at the
        address is preferred.

        Args:
            tag: Tag from a segment.
            address: Service address of the flow.

        Returns:
            The server, which may have been removed; None if the tag is unknown.
        """
        entries = self._entries_by_tag.get(tag)
        if not entries:
            return None
        if len(entries) > 1:
            services = self.routed_services_by_address.get(address, set())
            for entry in entries.values():
                if entry.registration.service in services:
                    return entry.registration
        return next(iter(entries.values())).registration

    def prune_removed_servers(self, now: float, max_flow_s: float) -> None:
        """Drops removed servers that no flow can belong to any more.

        Args:
            now: Current time in seconds.
            max_flow_s: Longest duration of a flow in seconds.
        """
        cutoff = now - max_flow_s - REMOVED_SERVER_MARGIN_S
        expired = [
            backend
            for backend, entry in self._entry_by_id.items()
            if entry.removed_at is not None and entry.removed_at < cutoff
        ]
        for backend in expired:
            entry = self._entry_by_id.pop(backend)
            self._pool_by_service[entry.registration.service].entry_by_id.pop(backend, None)
            self._entries_by_tag[tag_of(backend)].pop(backend, None)

    def _apply_configuration(self, configuration: Configuration) -> None:
        current = self.configuration
        if current is not None and configuration.version <= current.version:
            return
        self.configuration = configuration
        for address, route in configuration.route_by_address.items():
            self.routed_services_by_address.setdefault(address, set()).update(
                route.weight_by_service
            )

    def _add_server(self, registration: ServerRegistration, now: float) -> None:
        backend = registration.server.id
        previous = self._entry_by_id.get(backend)
        if previous is not None and previous.registration.service != registration.service:
            self._pool_by_service[previous.registration.service].entry_by_id.pop(backend, None)
            self._recompute_accepting(previous.registration.service, now)
        entry = _ServerEntry(registration, now + registration.warmup_left_s)
        self._entry_by_id[backend] = entry
        self._entries_by_tag.setdefault(tag_of(backend), {})[backend] = entry
        pool = self._pool_by_service.setdefault(registration.service, _ServicePool())
        pool.entry_by_id[backend] = entry
        self._recompute_accepting(registration.service, now)

    def _remove_server(self, backend: BackendId, now: float, grace_s: float) -> None:
        entry = self._entry_by_id.get(backend)
        if entry is None or entry.removed_at is not None:
            return
        entry.removed_at = now
        entry.accepts_until = now + grace_s
        self._recompute_accepting(entry.registration.service, now)

    def _recompute_accepting(self, service: ServiceName, now: float) -> None:
        """Recomputes which servers of a service accept new flows.

        Entries expire while the source is unavailable. Servers that were removed
        for that reason keep accepting flows for a grace period; otherwise the
        first ones to register again would get the whole load.
        """
        pool = self._pool_by_service[service]
        in_grace = [
            entry
            for entry in pool.entry_by_id.values()
            if entry.removed_at is not None and now < entry.accepts_until
        ]
        registered = [entry for entry in pool.entry_by_id.values() if entry.removed_at is None]
        pool.recompute_at = min((entry.accepts_until for entry in in_grace), default=math.inf)
        pool.accepting = tuple(
            entry.registration.server
            for entry in (*registered, *in_grace)
            if entry.registration.server.is_accepting
        )
