"""Routes and backend servers in force, ordered by their source and by their writers."""

import math
from collections.abc import Callable, Iterable, Iterator, Mapping
from dataclasses import dataclass, field
from types import MappingProxyType, NoneType
from typing import Any, NamedTuple

from berylstair.evacuation import EvacuationTable
from berylstair.ids import BackendId, Endpoint, ServiceName, ZoneId
from berylstair.record import BackendServer
from berylstair.server_addresses import ServerAddresses
from berylstair.tag import tag_of

__all__ = [
    'START_POSITION',
    'ColdStart',
    'Configuration',
    'ConfigurationPublished',
    'DecodedChange',
    'Directory',
    'Position',
    'Route',
    'ServerListed',
    'ServerRegistration',
    'ServerRemoved',
    'SourceChange',
    'WriterVersion',
    'ZoneEvacuated',
    'ZoneTakenBack',
]

# A removed server is kept this much longer than its last flow may last.
REMOVED_SERVER_MARGIN_S = 15.0
# Time for which the servers of a zone that was taken back count as cold if their service
# does not state how long a start takes.
DEFAULT_COLD_S = 2.0


class Position(NamedTuple):
    """Position in the source's order of changes.

    Attributes:
        era: Number of restores of the source. Each restore loses the newest
            changes and gives out their revisions again.
        revision: Revision of the source in that era.
    """

    era: int
    revision: int

    def __str__(self) -> str:
        """Returns the position as fields of a log line."""
        return f'revision={self.revision} era={self.era}'


START_POSITION = Position(0, 0)


class WriterVersion(NamedTuple):
    """Version that the writer of an item gives its content, whatever the source loses.

    Attributes:
        lifetime: Start time of the writer's process in ms since 1970; 0 if one
            order holds over all of its lifetimes.
        number: Rises with each content written in the lifetime.
    """

    lifetime: int = 0
    number: int = 0


class SourceChange(NamedTuple):
    """A change as the source wrote it; peers forward it in this form.

    Attributes:
        key: Key of the item that changed.
        position: Position of the source with this change.
        value: New content, None if the item was removed.
        writer_version: Version of the content, or of the removed content. The
            source does not state it; the directory fills it in.
        is_ahead: Whether the source lost this content and holds an older one.
    """

    key: str
    position: Position
    value: bytes | None
    writer_version: WriterVersion = WriterVersion()
    is_ahead: bool = False


class ServerRegistration(NamedTuple):
    """A backend server as it registered itself.

    Attributes:
        started_at_ms: Start time of its process in ms since 1970, 0 if unknown;
            a restarted server has lost its earlier flows.
        sequence: Number of the server's report, counted from its start.
        warmup_left_s: Seconds of warm-up, during which the server is slower,
            that were left when it registered.
    """

    server: BackendServer
    service: ServiceName
    started_at_ms: int = 0
    sequence: int = 0
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


class ColdStart(NamedTuple):
    """Properties of a service's servers after a start.

    Attributes:
        duration_s: Seconds for which a server is cold after a start during traffic.
        requests_per_s: Requests per second that a cold server can handle.
    """

    duration_s: float
    requests_per_s: float


_UNSTATED_COLD_START = ColdStart(DEFAULT_COLD_S, 0)


class Configuration(NamedTuple):
    """All routes of one published version.

    Attributes:
        cold_by_service: Cold starts of the services that state them.
        health_path_by_service: Where the servers of a service answer liveness checks;
            without an entry, the servers of the service are not checked.
    """

    version: int
    route_by_address: dict[Endpoint, Route]
    idle_timeout_s: float
    cold_by_service: Mapping[ServiceName, ColdStart] = MappingProxyType({})
    health_path_by_service: Mapping[ServiceName, str] = MappingProxyType({})


class ServerListed(NamedTuple):
    """A server registered or changed its entry."""

    registration: ServerRegistration


class ServerRemoved(NamedTuple):
    """A server's entry was removed, or describes no usable server.

    Attributes:
        fault: Why the entry describes no usable server; empty if it was removed.
    """

    backend: BackendId
    fault: str = ''


class ConfigurationPublished(NamedTuple):
    """The operator published a configuration."""

    configuration: Configuration


class ZoneEvacuated(NamedTuple):
    """The operator evacuates a zone: its servers get no new flows."""

    zone: ZoneId


class ZoneTakenBack(NamedTuple):
    """The operator has ended the evacuation of a zone."""

    zone: ZoneId


DecodedChange = (
    ServerListed | ServerRemoved | ConfigurationPublished | ZoneEvacuated | ZoneTakenBack
)


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
        recompute_at: When the next removed server stops accepting flows; in the past
            once a zone was evacuated or taken back.
    """

    accepting: tuple[BackendServer, ...] = ()
    recompute_at: float = math.inf
    entry_by_id: dict[BackendId, _ServerEntry] = field(default_factory=dict)


class Directory:
    """Holds the newest content of each key and never reverts to an older one.

    Changes may arrive from the source and from peers, in any order, and the
    source may go back to older contents. Where the source orders two contents of
    a server's entry, the later position wins, else the higher version of the
    writer. Of two configurations the higher version wins. A removal wins over
    all contents at lower positions. Of an evacuation and its end the later position wins.

    Attributes:
        position: Position of the source up to which every change was applied.
        advanced_at: When that position was reached, in seconds.
        evacuations: Zones that are evacuated.
        addresses: Which registered servers have an address.
    """

    def __init__(self) -> None:
        """Creates an empty directory at the start position."""
        self.position = START_POSITION
        self.advanced_at = -math.inf
        self.configuration: Configuration | None = None
        self.routed_services_by_address: dict[Endpoint, set[ServiceName]] = {}
        self._change_by_key: dict[str, SourceChange] = {}
        self._pool_by_service: dict[ServiceName, _ServicePool] = {}
        self._entry_by_id: dict[BackendId, _ServerEntry] = {}
        self._entries_by_tag: dict[int, dict[BackendId, _ServerEntry]] = {}
        self.evacuations = EvacuationTable()
        self._cold_since_by_zone: dict[ZoneId, float] = {}
        self.addresses = ServerAddresses()
        self._apply_by_type: Mapping[type[Any], Callable[[Any, float, float], None]] = {
            ServerListed: self._add_server,
            ServerRemoved: self._remove_server,
            ConfigurationPublished: self._apply_configuration,
            ZoneEvacuated: self._evacuate_zone,
            ZoneTakenBack: self._take_zone_back,
        }

    def find_change(self, key: str) -> SourceChange | None:
        """Returns the change held under a key."""
        return self._change_by_key.get(key)

    @property
    def configuration_version(self) -> int:
        """Version of the configuration in force, 0 without one."""
        return self.configuration.version if self.configuration else 0

    def confirm_unchanged(self, source_change: SourceChange) -> bool:
        """Moves a held change to a new position if the content there is the same.

        Returns:
            Whether the content is the same.
        """
        held = self._change_by_key.get(source_change.key)
        if held is None or held.value != source_change.value:
            return False
        if source_change.position >= held.position:
            self._change_by_key[held.key] = held._replace(
                position=source_change.position, is_ahead=source_change.is_ahead
            )
        return True

    def apply(
        self, source_change: SourceChange, change: DecodedChange | None, now: float, grace_s: float
    ) -> bool:
        """Applies a change if it is newer than what is held under its key.

        If the source now has an older content at a higher position, the held
        content stays and is marked as ahead of the source.

        Args:
            source_change: The change as the source wrote it.
            change: The same change decoded; None for a key that is not used.
            now: Current time in seconds.
            grace_s: Seconds for which a removed server may still get new flows, and
                for which an evacuation that was removed stays in force.

        Returns:
            Whether it was newer than what was held.
        """
        held = self._change_by_key.get(source_change.key)
        if change is None and held is None:
            return False
        versioned = source_change._replace(
            writer_version=_find_writer_version(source_change, change, held)
        )
        if held is not None and not _IS_NEWER_BY_TYPE[type(change)](versioned, held):
            if versioned.position > held.position:
                self._change_by_key[held.key] = held._replace(
                    position=versioned.position, is_ahead=True
                )
            return False
        self._change_by_key[versioned.key] = versioned
        apply_content = self._apply_by_type.get(type(change))
        if apply_content is not None:
            apply_content(change, now, grace_s)
        return True

    def end_evacuations(self, now: float) -> None:
        """Takes back the zones whose evacuation has ended by a time in seconds."""
        for zone in self.evacuations.remove_ended(now):
            self.mark_zone_cold(zone, now)
            self._invalidate_accepting()

    def is_server_evacuated(self, backend: BackendId) -> bool:
        """Returns whether a server is in an evacuated zone, by its latest entry."""
        entry = self._entry_by_id.get(backend)
        return entry is not None and entry.registration.server.zone in self.evacuations

    def may_open_at(self, server: BackendServer) -> bool:
        """Returns whether an opening segment may be sent to a server.

        Args:
            server: A server as it was registered when it was chosen; its entry may
                name another zone by now.
        """
        if not self.evacuations:
            return True
        return server.zone not in self.evacuations and not self.is_server_evacuated(server.id)

    def advance(self, position: Position, now: float) -> None:
        """Records that every change up to a position has been applied."""
        if position > self.position:
            self.position = position
            self.advanced_at = now

    def withdraw_after(self, position: Position) -> int:
        """Goes back to a position that the source has not passed.

        Contents from beyond it stay in use until a full listing of the source is
        applied, in which any content or absence replaces them.

        Returns:
            Number of the contents from beyond it.
        """
        self.position = min(self.position, position)
        withdrawn = [
            change for change in self._change_by_key.values() if change.position > position
        ]
        for change in withdrawn:
            self._change_by_key[change.key] = change._replace(
                position=START_POSITION, writer_version=WriterVersion(), is_ahead=False
            )
        return len(withdrawn)

    def keys_absent_from(self, keys: Iterable[str], position: Position) -> list[str]:
        """Returns the keys held here that a complete listing lacks.

        Args:
            keys: Keys of the listing.
            position: Position at which the listing began; keys that changed
                later are not returned.
        """
        listed = set(keys)
        return [
            key
            for key, change in self._change_by_key.items()
            if change.value is not None and key not in listed and change.position <= position
        ]

    def keys_before_era(self, era: int) -> list[str]:
        """Returns the keys whose contents were not seen in an era of the source or later."""
        return [
            key
            for key, change in self._change_by_key.items()
            if change.value is not None and change.position.era < era
        ]

    def changes_after(self, position: Position) -> list[SourceChange]:
        """Returns the changes that a peer at a position may lack, oldest first.

        Contents ahead of the source are among them, as the peer may have read
        the older ones from the source.
        """
        newer = [
            change
            for change in self._change_by_key.values()
            if change.is_ahead or change.position > position
        ]
        return sorted(newer, key=lambda change: change.position)

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
        if entry is None:
            return 0
        zone_cold_since = self._cold_since_by_zone.get(entry.registration.server.zone, -math.inf)
        cold_start = self.cold_start(entry.registration.service) or _UNSTATED_COLD_START
        cold_until = zone_cold_since + cold_start.duration_s
        return max(entry.warmup_until - now, cold_until - now, 0)

    def cold_start(self, service: ServiceName) -> ColdStart | None:
        """Returns the properties of a service's servers after a start, None if not stated."""
        configuration = self.configuration
        return configuration.cold_by_service.get(service) if configuration else None

    def mark_zone_cold(self, zone: ZoneId, now: float) -> None:
        """Counts the servers of a zone as cold, whatever their entries say.

        Each counts as cold until at least the cold start of its service has passed since.

        Args:
            zone: Zone that gets flows again after it got none.
            now: Current time in seconds.
        """
        self._cold_since_by_zone[zone] = now
        for service, pool in self._pool_by_service.items():
            if any(entry.registration.server.zone == zone for entry in pool.entry_by_id.values()):
                self._recompute_accepting(service, now)

    def registered_servers(self) -> Iterator[ServerRegistration]:
        """Iterates over the servers whose entries are registered."""
        for entry in self._entry_by_id.values():
            if entry.removed_at is None:
                yield entry.registration

    def started_at_ms(self, backend: BackendId) -> int:
        """Returns the start time of the server's process in ms since 1970, 0 if unknown."""
        entry = self._entry_by_id.get(backend)
        return entry.registration.started_at_ms if entry else 0

    def find_server(self, backend: BackendId) -> ServerRegistration | None:
        """Returns a server as it last registered, also if its entry was removed since."""
        entry = self._entry_by_id.get(backend)
        return entry.registration if entry else None

    def removed_at(self, backend: BackendId) -> float | None:
        """Returns when a server's entry was removed, in seconds; None while it is registered."""
        entry = self._entry_by_id.get(backend)
        return entry.removed_at if entry else None

    def is_gone(self, backend: BackendId, now: float) -> bool:
        """Returns whether a server's entry was removed and the grace period is over."""
        entry = self._entry_by_id.get(backend)
        return entry is not None and entry.removed_at is not None and now >= entry.accepts_until

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

    def _apply_configuration(
        self, change: ConfigurationPublished, _now: float, _grace_s: float
    ) -> None:
        configuration = change.configuration
        self.configuration = configuration
        for address, route in configuration.route_by_address.items():
            self.routed_services_by_address.setdefault(address, set()).update(
                route.weight_by_service
            )

    def _add_server(self, change: ServerListed, now: float, _grace_s: float) -> None:
        registration = change.registration
        backend = registration.server.id
        previous = self._entry_by_id.get(backend)
        if previous is not None and previous.registration.service != registration.service:
            self._pool_by_service[previous.registration.service].entry_by_id.pop(backend, None)
            self._recompute_accepting(previous.registration.service, now)
        if previous is not None:
            self.addresses.remove(previous.registration.server)
        self.addresses.add(registration.server)
        entry = _ServerEntry(registration, now + registration.warmup_left_s)
        self._entry_by_id[backend] = entry
        self._entries_by_tag.setdefault(tag_of(backend), {})[backend] = entry
        pool = self._pool_by_service.setdefault(registration.service, _ServicePool())
        pool.entry_by_id[backend] = entry
        self._recompute_accepting(registration.service, now)

    def _remove_server(self, change: ServerRemoved, now: float, grace_s: float) -> None:
        entry = self._entry_by_id.get(change.backend)
        if entry is None or entry.removed_at is not None:
            return
        self.addresses.remove(entry.registration.server)
        entry.removed_at = now
        entry.accepts_until = now + grace_s
        self._recompute_accepting(entry.registration.service, now)

    def _evacuate_zone(self, change: ZoneEvacuated, _now: float, _grace_s: float) -> None:
        self.evacuations.begin(change.zone)
        self._invalidate_accepting()

    def _take_zone_back(self, change: ZoneTakenBack, now: float, grace_s: float) -> None:
        self.evacuations.end(change.zone, now + grace_s)
        self.end_evacuations(now)

    def _invalidate_accepting(self) -> None:
        """Lets the accepting servers of each service be computed when they are asked for next."""
        for pool in self._pool_by_service.values():
            pool.recompute_at = -math.inf

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
            and entry.registration.server.zone not in self.evacuations
        )


def _find_writer_version(
    source_change: SourceChange, change: DecodedChange | None, held: SourceChange | None
) -> WriterVersion:
    """Returns the version of a content; that of the newest known content for a removal."""
    if isinstance(change, ServerListed):
        return WriterVersion(change.registration.started_at_ms, change.registration.sequence)
    if isinstance(change, ConfigurationPublished):
        return WriterVersion(number=change.configuration.version)
    known = held.writer_version if held else WriterVersion()
    return max(known, source_change.writer_version)


def _is_never_newer(_change: SourceChange, _held: SourceChange) -> bool:
    return False


def _is_later(change: SourceChange, held: SourceChange) -> bool:
    """Compares positions.

    A removal that the source lost has the position of the older content that is
    back, but the version of the newer content that it removed.
    """
    return (change.position, change.writer_version) > (held.position, held.writer_version)


def _has_higher_version(change: SourceChange, held: SourceChange) -> bool:
    return (change.writer_version, change.position) > (held.writer_version, held.position)


def _is_newer_registration(change: SourceChange, held: SourceChange) -> bool:
    """Compares positions where the source orders both contents, else their versions.

    A server whose clock was set back starts a lifetime with a lower number, so
    within an era the source decides between lifetimes.
    """
    is_removed = held.value is None
    if is_removed and change.position < held.position:
        return False
    is_same_era = change.position.era == held.position.era
    is_same_lifetime = change.writer_version.lifetime == held.writer_version.lifetime
    # The source may write contents again that are older than the one it lost.
    is_one_lost = change.is_ahead or held.is_ahead or is_removed
    if is_same_era and not (is_same_lifetime and is_one_lost):
        return _is_later(change, held)
    return _has_higher_version(change, held)


_IS_NEWER_BY_TYPE: Mapping[type[Any], Callable[[SourceChange, SourceChange], bool]] = {
    NoneType: _is_never_newer,
    ServerRemoved: _is_later,
    ServerListed: _is_newer_registration,
    ConfigurationPublished: _has_higher_version,
    ZoneEvacuated: _is_later,
    ZoneTakenBack: _is_later,
}
