"""Simulates steering instances, backend servers with direct return, and callers."""

import heapq
import math
from collections import Counter, defaultdict
from collections.abc import Callable
from dataclasses import dataclass, field
from itertools import count
from random import Random
from typing import Any

from berylstair.directory import (
    ColdStart,
    Configuration,
    ConfigurationPublished,
    DecodedChange,
    Position,
    Route,
    ServerListed,
    ServerRegistration,
    ServerRemoved,
    SourceChange,
    ZoneEvacuated,
    ZoneTakenBack,
)
from berylstair.directory_source import SourceListing
from berylstair.ids import BackendId, Endpoint, FlowKey, InstanceId, ServiceName, ZoneId
from berylstair.membership import PAUSE_THRESHOLD_S
from berylstair.record import BackendServer, BackendState
from berylstair.segment import Segment
from berylstair.server_death import CheckOutcome
from berylstair.shared_action import LogEntry, Stopped
from berylstair.steering import SteeringInstance
from berylstair.steering_action import (
    CheckServer,
    FetchDirectory,
    ResetCaller,
    SendMessage,
    SendSegment,
)
from berylstair.steering_links import FETCH_TIMEOUT_S
from berylstair.steering_message import STEERING_CODEC
from berylstair.steering_settings import Capacity, ColdLimit, SteeringSettings, TimeLimits
from berylstair.tag import tag_of

__all__ = ['CallerFlow', 'SimulatedServer', 'SimulatedWorld']

PEER_PORT = 7000
SERVICE = ServiceName('reports-desk')
SERVICE_ADDRESS = Endpoint('198.18.0.1', 443)
INTERNAL_DELAY_S = 0.0004
CALLER_DELAY_S = 0.003
RETRANSMISSION_TIMES_S = (0.2, 0.6)
OPENING_TIMEOUT_S = 1.4
SEQUENCE_STEP = 1000
# Pauses before a server repeats its answer to an opening segment.
ACCEPT_REPEATED_AFTER_S = (0.2, 0.4, 0.8, 1.6, 1.6, 1.6, 1.6, 1.6)
SOURCE_CONFIRMATION_INTERVAL_S = 0.5
# A liveness check that nothing answers, with its three connections.
CHECK_TIMEOUT_S = 0.5
CONNECTIONS_PER_CHECK = 3
HEALTH_PATH = '/health'
MIN_TIMER_DELAY_S = 0.0001
REQUEST_BYTES = 100
EVACUATION_PREFIX = 'evacuations/'


@dataclass(slots=True)
class CallerFlow:
    """One request of a caller, in a flow of its own.

    Attributes:
        zone: Availability zone of the caller.
        work_s: Time that the request keeps a slot of an unslowed server busy.
        backend_id: Server that accepted the flow, None before that.
        tag: Server's tag, as the caller last received it.
        acknowledged: Next byte that the caller expects from the server.
        stays_open: Whether the caller keeps the flow for further requests.
        outcome: ``answered``, ``reset``, ``gave_up`` or, before the end, empty.
        latency_s: Time from the start of the request to its outcome.
    """

    key: FlowKey
    zone: ZoneId
    work_s: float
    started_at: float
    backend_id: BackendId | None = None
    tag: int = 0
    acknowledged: int = 0
    stays_open: bool = False
    outcome: str = ''
    latency_s: float = 0.0


@dataclass(slots=True)
class SimulatedServer:
    """A backend server with slots and a queue.

    Attributes:
        number: Multiplied by ``SEQUENCE_STEP``, its initial sequence number in all flows.
        slowness: Factor on the work of its requests.
        accept_delay_s: Delay of its answer to an opening segment, beyond the
            network delay.
        is_dead: Whether it drops all segments; work in progress still ends.
        is_silent: Whether it opens flows and answers no request.
        is_frozen: Whether its process is frozen: connections are accepted, nothing is answered.
        refuses_connections: Whether its machine runs on after the server has died.
        open_flows: Keys of the flows that it holds.
        tag_by_flow: Tag of the last segment received of each flow, which it sends.
        opening_count_by_flow: Opening segments received, by flow key.
        opening_times: When each opening segment arrived.
        misrouted_segments: Segments received of flows that it does not hold.
    """

    backend_server: BackendServer
    number: int
    slowness: float = 1.0
    accept_delay_s: float = 0.0
    is_dead: bool = False
    is_silent: bool = False
    is_frozen: bool = False
    refuses_connections: bool = False
    busy_slots: int = 0
    queued_flows: list[CallerFlow] = field(default_factory=list)
    open_flows: set[FlowKey] = field(default_factory=set)
    tag_by_flow: dict[FlowKey, int] = field(default_factory=dict)
    opening_count_by_flow: Counter[FlowKey] = field(default_factory=Counter)
    opening_times: list[float] = field(default_factory=list)
    misrouted_segments: int = 0


class SimulatedWorld:
    """Discrete-event simulation of steering instances, backend servers and callers.

    Attributes:
        now: Simulated time in seconds.
        down_ips: Instances that were killed or have stopped.
        unready_ips: Instances that the fabric keeps out of rotation.
        blocked_links: Pairs of source and target IP addresses without delivery.
        log_entries: Log entries with the IP address of their instance.
        stopped_ips: Instances that ended a planned stop.
        resets_to_lose: Number of the next resets that do not reach their caller.
        repeats_accepts: Whether servers send their answer to an opening segment again
            until the caller acknowledges it.
        accept_loss_ratio: Share of those answers that are lost.
        opening_loss_ratio: Share of opening segments lost between instance and server.
        segment_loss_ratio: Share of other segments lost there, and of the packets of
            liveness checks in each direction.
        message_loss_ratio: Share of the messages between instances that are lost.
        check_times: When each liveness check began, by server.
        on_flow_ended: Called with each flow that gets an outcome.
        on_request: Called with server, flow and segment for data on an open flow.
        on_reset: Called with each flow that is reset.
        sent_messages: Messages sent between instances, by type name.
        source_items: Items in the platform's store, by key.
        source_position: Position of the platform's store.
        delay_by_ip: Time that each message waits at an instance's link, in each direction.
        frozen_until_by_ip: When a frozen instance wakes; it then takes what has arrived.
        clock_ahead_by_ip: Seconds by which an instance's clock is ahead of ``now``.
    """

    def __init__(
        self,
        instances: int = 3,
        zones: int = 1,
        seed: int = 1,
        cores: tuple[float, ...] = (1.0,),
        confirms_sources: bool = True,
        cold_limit: ColdLimit | None = None,
    ) -> None:
        """Starts instances that have the first one as their seed.

        Args:
            instances: Number of instances.
            zones: Number of zones that they are spread over.
            seed: Seed of the random number generator.
            cores: CPU capacities, in cores, given to the instances in rotation.
            confirms_sources: Whether every instance hears all the time that its
                directory is up to date; otherwise they have to read the store.
            cold_limit: Bound for cold servers in the settings of every instance.
        """
        self._cores = cores
        self._cold_limit = cold_limit
        self.now = 100.0
        self.rng = Random(seed)
        self.steering_by_ip: dict[str, SteeringInstance] = {}
        self.down_ips: set[str] = set()
        self.unready_ips: set[str] = set()
        self.blocked_links: set[tuple[str, str]] = set()
        self.server_by_id: dict[BackendId, SimulatedServer] = {}
        self.flow_by_key: dict[FlowKey, CallerFlow] = {}
        self.log_entries: list[tuple[str, LogEntry]] = []
        self.stopped_ips: set[str] = set()
        self.resets_to_lose = 0
        self.repeats_accepts = False
        self.accept_loss_ratio = 0.0
        self.opening_loss_ratio = 0.0
        self.segment_loss_ratio = 0.0
        self.message_loss_ratio = 0.0
        self.check_times: defaultdict[BackendId, list[float]] = defaultdict(list)
        self.on_flow_ended: Callable[[CallerFlow], None] = lambda flow: None
        self.on_request: Callable[[SimulatedServer, CallerFlow, Segment], None] = (
            lambda server, flow, segment: None
        )
        self.on_reset: Callable[[CallerFlow], None] = lambda flow: None
        self.sent_messages: Counter[str] = Counter()
        self.source_items: dict[str, SourceChange] = {}
        self.source_position = Position(1, 0)
        self.delay_by_ip: defaultdict[str, float] = defaultdict(float)
        self.frozen_until_by_ip: defaultdict[str, float] = defaultdict(float)
        self.clock_ahead_by_ip: defaultdict[str, float] = defaultdict(float)
        self._backlog_by_ip: defaultdict[str, list[tuple[float, Segment]]] = defaultdict(list)
        self._source_events: list[SourceChange] = []
        self._change_by_text: dict[bytes, DecodedChange] = {}
        self._wake_at_by_ip: dict[str, float] = {}
        self._zones = [ZoneId(f'zone-{number}') for number in range(zones)]
        self._event_heap: list[tuple[float, int, Callable[[], None]]] = []
        self._event_numbers = count()
        self._caller_ports = count(40000)
        for number in range(instances):
            self.start_instance(number)
        if confirms_sources:
            self._confirm_sources()

    def now_at(self, ip: str) -> float:
        """Returns the time on an instance's clock."""
        return self.now + self.clock_ahead_by_ip[ip]

    def freeze(self, ip: str, duration_s: float) -> None:
        """Freezes an instance's process; what arrives meanwhile is handled when it wakes."""
        self.frozen_until_by_ip[ip] = self.now + duration_s
        self.schedule(duration_s, lambda: self._wake(ip, duration_s))

    def schedule_at(self, ip: str, delay_s: float, callback: Callable[[], None]) -> None:
        """Schedules what an instance does after a delay, or once it has woken."""

        def run() -> None:
            frozen_s = self.frozen_until_by_ip[ip] - self.now
            if frozen_s > 0:
                self.schedule(frozen_s, run)
            elif ip not in self.down_ips:
                callback()

        self.schedule(delay_s, run)

    def events_after(self, position: Position) -> list[SourceChange]:
        """Returns the changes of the store after a position."""
        return [change for change in self._source_events if change.position > position]

    def start_instance(self, number: int, clock_ahead_s: float = 0.0) -> str:
        """Starts or restarts an instance and returns its IP address.

        Args:
            number: Index of the instance, from 0.
            clock_ahead_s: Seconds by which its wall clock, which gives its
                incarnation, is ahead of the simulated time.
        """
        ip = f'10.0.0.{number + 1}'
        self.down_ips.discard(ip)
        self.stopped_ips.discard(ip)
        self.unready_ips.discard(ip)
        zone = self._zones[number % len(self._zones)]
        settings = SteeringSettings(
            instance=InstanceId(f'entry-{number + 1}'),
            zone=zone,
            zones=tuple(self._zones),
            packet_endpoint=Endpoint(ip, 8000),
            caller_port=8000,
            readiness_endpoint=Endpoint(ip, 8001),
            peer_endpoint=Endpoint(ip, PEER_PORT),
            metrics_endpoint=Endpoint(ip, 8002),
            seeds=(Endpoint('10.0.0.1', PEER_PORT),),
            source_endpoint=Endpoint('10.9.0.1', 80),
            capacity=Capacity(self._cores[number % len(self._cores)], 1000.0),
            time_limits=TimeLimits(3.0, 3.0, 6.0, 60.0, 3.6),
            cold_limit=self._cold_limit,
        )
        incarnation = round((self.now + clock_ahead_s) * 1000)
        rng = Random(self.rng.random())
        steering = SteeringInstance(
            settings, self._decode_change, rng, incarnation, self.now_at(ip)
        )
        self.steering_by_ip[ip] = steering
        self._wake_at_by_ip[ip] = math.inf
        self._run_timers(ip, steering)
        if self.source_items:
            self.list_source(ip)
        return ip

    def partition_zone(self, number: int) -> None:
        """Blocks the links between a zone's instances and servers and those of other zones.

        They stay blocked until ``blocked_links`` is cleared.
        """
        zone = self._zones[number]
        zone_by_ip = {ip: node.core.settings.zone for ip, node in self.steering_by_ip.items()}
        for server in self.server_by_id.values():
            zone_by_ip[server.backend_server.address.ip] = server.backend_server.zone
        self.blocked_links.update(
            (source, target)
            for source in zone_by_ip
            for target in zone_by_ip
            if (zone_by_ip[source] == zone) != (zone_by_ip[target] == zone)
        )

    def kill_instance(self, ip: str) -> None:
        """Kills an instance without notice; the fabric goes on sending packets to it."""
        self.down_ips.add(ip)

    def schedule(self, delay_s: float, callback: Callable[[], None]) -> None:
        """Schedules a callback after a delay in simulated time."""
        heapq.heappush(self._event_heap, (self.now + delay_s, next(self._event_numbers), callback))

    def run(self, duration_s: float) -> None:
        """Advances the simulated time and runs the callbacks that fall due."""
        until = self.now + duration_s
        while self._event_heap and self._event_heap[0][0] <= until:
            due_at, _, callback = heapq.heappop(self._event_heap)
            self.now = max(self.now, due_at)
            callback()
        self.now = until

    def add_servers(self, server_count: int, slots: int = 3) -> None:
        """Adds servers, spread over the zones, and registers them in the store."""
        first = len(self.server_by_id)
        for index in range(first, first + server_count):
            zone = self._zones[index % len(self._zones)]
            address = Endpoint(f'10.1.0.{index + 1}', 9000)
            backend = BackendId(f'i-{index + 1:04x}')
            entry = BackendServer(
                backend, zone, address, slots, 2000, float(slots), BackendState.ACTIVE
            )
            self.server_by_id[backend] = SimulatedServer(entry, index + 1)
            self.publish(f'servers/{backend}', ServerListed(ServerRegistration(entry, SERVICE)))

    def list_cold(self, backend: BackendId, cold_s: float) -> None:
        """Registers a server anew, as after a restart, with the time that it stays cold."""
        entry = self.server_by_id[backend].backend_server
        started_at_ms = round(self.now * 1000)
        self.publish(
            f'servers/{backend}',
            ServerListed(ServerRegistration(entry, SERVICE, started_at_ms, 1, cold_s)),
        )

    def add_route(
        self,
        version: int = 1,
        only_ip: str = '',
        cold_start: ColdStart | None = None,
        has_health_path: bool = False,
    ) -> None:
        """Publishes a configuration with one route, which one instance or all read.

        Args:
            version: Version of the configuration.
            only_ip: Only instance that reads it; empty for all.
            cold_start: Cold start of the service, None if it states none.
            has_health_path: Whether the service states where its servers answer
                liveness checks.
        """
        paths = {SERVICE: HEALTH_PATH} if has_health_path else {}
        route = Route('status', SERVICE_ADDRESS, {SERVICE: 1.0}, True, 4.0, 0.25, 2)
        cold_by_service = {SERVICE: cold_start} if cold_start else {}
        configuration = Configuration(version, {SERVICE_ADDRESS: route}, 15, cold_by_service, paths)
        self.publish('config', ConfigurationPublished(configuration), only_ip)

    def remove_server(self, backend: BackendId) -> None:
        """Removes a server's entry from the store."""
        self.publish(f'servers/{backend}', ServerRemoved(backend))

    def evacuate_zone(self, number: int, only_ip: str = '') -> None:
        """Writes the evacuation of a zone to the store, which one instance or all read."""
        zone = self._zones[number]
        self.publish(f'{EVACUATION_PREFIX}{zone}', ZoneEvacuated(zone), only_ip)

    def take_zone_back(self, number: int, only_ip: str = '') -> None:
        """Removes the evacuation of a zone from the store."""
        zone = self._zones[number]
        self.publish(f'{EVACUATION_PREFIX}{zone}', ZoneTakenBack(zone), only_ip)

    def count_openings(self, number: int) -> int:
        """Returns the number of opening segments that the servers of a zone have received."""
        return sum(
            server.opening_count_by_flow.total()
            for server in self.server_by_id.values()
            if server.backend_server.zone == self._zones[number]
        )

    def publish(self, key: str, change: DecodedChange, only_ip: str = '') -> None:
        """Writes a change to the store, which running instances read.

        Args:
            key: Key of the item in the store.
            change: Content of the change.
            only_ip: Only instance that reads the store; empty for all.
        """
        era, revision = self.source_position
        self.source_position = Position(era, revision + 1)
        if isinstance(change, (ServerRemoved, ZoneTakenBack)):
            source_change = SourceChange(key, self.source_position, None)
            self.source_items.pop(key, None)
        else:
            text = repr(change).encode()
            self._change_by_text[text] = change
            source_change = SourceChange(key, self.source_position, text)
            self.source_items[key] = source_change
        self._source_events.append(source_change)
        for ip in self.steering_by_ip:
            if only_ip in {'', ip}:
                self._watch_source(ip)

    def restore_source(
        self, items: dict[str, SourceChange], revision: int, reader_ip: str = ''
    ) -> None:
        """Restores the store from a copy of its items; the next era begins.

        Args:
            items: Items of the copy, by key.
            revision: Revision of the copy.
            reader_ip: Only instance that reads the restored store; empty for all.
        """
        self.source_position = Position(self.source_position.era + 1, revision)
        self.source_items = {
            key: item._replace(position=item.position._replace(era=self.source_position.era))
            for key, item in items.items()
        }
        self._source_events = []
        for ip in self.steering_by_ip:
            if reader_ip in {'', ip}:
                self.list_source(ip)

    def list_source(self, ip: str) -> None:
        """Lets an instance list the store."""
        listing = SourceListing(self.source_position, tuple(self.source_items.values()))
        self.deliver_listing(ip, listing, is_full_listing=True)

    def start_flow(
        self, zone: int = 0, work_s: float = 0.05, stays_open: bool = False
    ) -> CallerFlow:
        """Starts one request, with retransmissions until a server accepts the flow.

        Args:
            zone: Index of the caller's zone.
            work_s: Time that the request keeps a slot of an unslowed server busy.
            stays_open: Whether the caller keeps the flow for further requests.
        """
        port = next(self._caller_ports)
        caller = bytes((100, 64, zone, 1)) + port.to_bytes(2, 'big')
        service = bytes(map(int, SERVICE_ADDRESS.ip.split('.'))) + SERVICE_ADDRESS.port.to_bytes(
            2, 'big'
        )
        key = FlowKey(caller + service)
        flow = CallerFlow(key, self._zones[zone], work_s, self.now, stays_open=stays_open)
        self.flow_by_key[flow.key] = flow
        self._send_opening(flow, 0)
        for retransmission, after_s in enumerate(RETRANSMISSION_TIMES_S, start=1):
            self.schedule(after_s, lambda number=retransmission: self._send_opening(flow, number))
        self.schedule(OPENING_TIMEOUT_S, lambda: self._handle_opening_timeout(flow))
        return flow

    def send_next_request(self, flow: CallerFlow) -> None:
        """Sends a further request on an open flow, with the tag that its caller has."""
        segment = self._make_segment(flow)._replace(sequence=9, data_length=REQUEST_BYTES)
        self.send_from_caller(flow, segment)

    def deliver_segment(self, ip: str, segment: Segment) -> None:
        """Delivers a caller's segment to an instance; a frozen one handles it when it wakes."""
        if ip in self.down_ips:
            return
        if self.now < self.frozen_until_by_ip[ip]:
            self._backlog_by_ip[ip].append((self.now, segment))
        else:
            self._handle_segment(ip, segment, 0)

    def repeat_accept(self, flow: CallerFlow, server: SimulatedServer) -> None:
        """Delivers to a flow's caller another accept, which may be of another server."""
        self._handle_accept(
            flow, server, server.number * SEQUENCE_STEP, tag_of(server.backend_server.id)
        )

    @property
    def misrouted_segments(self) -> int:
        """Number of segments that reached a server which did not hold their flow."""
        return sum(server.misrouted_segments for server in self.server_by_id.values())

    def answered_flows(self) -> list[CallerFlow]:
        """Returns the flows whose callers have received their response."""
        return [flow for flow in self.flow_by_key.values() if flow.outcome == 'answered']

    def _confirm_sources(self) -> None:
        """Confirms periodically to all running instances that their directory is up to date."""
        for ip, steering in self.steering_by_ip.items():
            self.deliver_listing(ip, SourceListing(steering.core.directory.position, ()))
        self.schedule(SOURCE_CONFIRMATION_INTERVAL_S, self._confirm_sources)

    def _watch_source(self, ip: str) -> None:
        """Lets an instance read the changes after its position, as a watch returns them."""
        position = self.steering_by_ip[ip].core.directory.position
        if position.era != self.source_position.era:
            self.list_source(ip)
            return
        events = self.events_after(position)
        self.deliver_listing(ip, SourceListing(self.source_position, tuple(events)))

    def deliver_listing(
        self,
        ip: str,
        listing: SourceListing,
        is_full_listing: bool = False,
        confirmed_at: float | None = None,
        refuted: Position | None = None,
    ) -> None:
        """Delivers an answer of the store to an instance.

        Args:
            ip: IP address of the instance.
            listing: The answer.
            is_full_listing: Whether it holds all items.
            confirmed_at: Time on the instance's clock up to which the answer is
                complete, now if not given.
            refuted: Position that the instance held before the call, if the store
                has not reached it.
        """
        if ip not in self.down_ips:
            steering = self.steering_by_ip[ip]
            now = self.now_at(ip)
            as_of = now if confirmed_at is None else confirmed_at
            steering.handle_listing(listing, is_full_listing, now, as_of, refuted)
            self._perform_actions(ip, steering)

    def _decode_change(self, source: SourceChange) -> DecodedChange | None:
        if source.value is not None:
            return self._change_by_text.get(source.value)
        prefix, _, name = source.key.rpartition('/')
        if source.key.startswith(EVACUATION_PREFIX):
            return ZoneTakenBack(ZoneId(name))
        return ServerRemoved(BackendId(name)) if prefix else None

    def _run_timers(self, ip: str, steering: SteeringInstance) -> None:
        if ip in self.down_ips or self.steering_by_ip.get(ip) is not steering:
            return
        self._wake_at_by_ip[ip] = math.inf
        steering.run_timers(self.now_at(ip))
        self._perform_actions(ip, steering)

    def _perform_actions(self, ip: str, steering: SteeringInstance) -> None:
        for action in steering.take_actions():
            self._perform_action(ip, action)
        wake_at = steering.wake_at
        if wake_at is not None and wake_at < self._wake_at_by_ip.get(ip, math.inf):
            self._wake_at_by_ip[ip] = wake_at
            delay_s = max(wake_at - self.now_at(ip), MIN_TIMER_DELAY_S)
            self.schedule_at(ip, delay_s, lambda: self._run_timers(ip, steering))

    def _perform_action(self, ip: str, action: Any) -> None:
        handler_by_action: dict[type[Any], Callable[[str, Any], None]] = {
            SendSegment: self._send_segment,
            ResetCaller: self._reset_caller,
            SendMessage: self._send_message,
            FetchDirectory: self._start_fetch,
            CheckServer: self._check_server,
            LogEntry: lambda instance_ip, entry: self.log_entries.append((instance_ip, entry)),
            Stopped: lambda instance_ip, _stopped: self._record_stopped(instance_ip),
        }
        handler_by_action[type(action)](ip, action)

    def _send_segment(self, ip: str, action: SendSegment) -> None:
        segment = action.segment._replace(tag=action.tag)
        server = self.server_by_id[action.server.id]
        self.schedule(INTERNAL_DELAY_S, lambda: self._deliver_to_server(ip, server, segment))

    def _reset_caller(self, _ip: str, action: ResetCaller) -> None:
        flow = self.flow_by_key[action.segment.flow]
        if self.resets_to_lose:
            self.resets_to_lose -= 1
            return
        self.schedule(CALLER_DELAY_S, lambda: self._handle_reset(flow))

    def _handle_reset(self, flow: CallerFlow) -> None:
        self.on_reset(flow)
        self._end_flow(flow, 'reset')

    def _check_server(self, ip: str, action: CheckServer) -> None:
        server = self.server_by_id[action.server.backend]
        self.check_times[action.server.backend].append(self.now)
        outcome = self._outcome_of_check(ip, server)
        delay_s = CHECK_TIMEOUT_S if outcome is CheckOutcome.NOT_ACCEPTED else INTERNAL_DELAY_S
        self.schedule_at(ip, delay_s, lambda: self._deliver_outcome(ip, action, outcome))

    def _outcome_of_check(self, ip: str, server: SimulatedServer) -> CheckOutcome:
        both_ways = (1 - self.segment_loss_ratio) ** 2
        is_lost = self.rng.random() < (1 - both_ways) ** CONNECTIONS_PER_CHECK
        if is_lost or (ip, server.backend_server.address.ip) in self.blocked_links:
            return CheckOutcome.NOT_ACCEPTED
        if not server.is_dead:
            return CheckOutcome.ACCEPTED
        is_refused = server.refuses_connections
        return CheckOutcome.REFUSED if is_refused else CheckOutcome.NOT_ACCEPTED

    def _deliver_outcome(self, ip: str, action: CheckServer, outcome: CheckOutcome) -> None:
        steering = self.steering_by_ip[ip]
        steering.failed_servers.rounds.handle_check_result(action, outcome, self.now_at(ip))
        self._perform_actions(ip, steering)

    def _send_message(self, ip: str, action: SendMessage) -> None:
        self.sent_messages[type(action.message).__name__] += 1
        data = STEERING_CODEC.encode(action.message)
        target = action.target.ip
        if self.message_loss_ratio and self.rng.random() < self.message_loss_ratio:
            return
        delay_s = INTERNAL_DELAY_S + self.delay_by_ip[ip] + self.delay_by_ip[target]
        self.schedule_at(target, delay_s, lambda: self._deliver_to_peer(ip, target, data))

    def _record_stopped(self, ip: str) -> None:
        self.stopped_ips.add(ip)
        self.down_ips.add(ip)

    def _deliver_to_peer(self, source: str, target: str, data: bytes) -> None:
        steering = self.steering_by_ip.get(target)
        is_lost = (
            target in self.down_ips
            or source in self.down_ips
            or (source, target) in self.blocked_links
        )
        if steering is None or is_lost:
            return
        steering.handle_message(source, STEERING_CODEC.decode(data), self.now_at(target))
        self._perform_actions(target, steering)

    def _start_fetch(self, ip: str, fetch: FetchDirectory) -> None:
        """Starts a fetch, which takes two round trips."""
        delay_s = self.delay_by_ip[ip] + self.delay_by_ip[fetch.target.ip]
        if 4 * delay_s < FETCH_TIMEOUT_S:
            self.schedule_at(
                ip, INTERNAL_DELAY_S + 4 * delay_s, lambda: self._fetch_directory(ip, fetch)
            )

    def _fetch_directory(self, ip: str, fetch: FetchDirectory) -> None:
        target = fetch.target.ip
        is_frozen = self.now < self.frozen_until_by_ip[target]
        if target in self.down_ips or is_frozen or (ip, target) in self.blocked_links:
            return
        reply = self.steering_by_ip[target].directory_sync.encode_changes_after(fetch.after)
        self.steering_by_ip[ip].directory_sync.apply_fetched_changes(reply, fetch, self.now_at(ip))
        self._perform_actions(ip, self.steering_by_ip[ip])

    def _instances_in_rotation(self, zone: ZoneId) -> list[str]:
        ready = [
            ip
            for ip, steering in sorted(self.steering_by_ip.items())
            if ip not in self.unready_ips and ip not in self.stopped_ips and steering.is_ready
        ]
        same_zone = [ip for ip in ready if self.steering_by_ip[ip].core.settings.zone == zone]
        return same_zone or ready

    def send_from_caller(self, flow: CallerFlow, segment: Segment) -> None:
        rotation = self._instances_in_rotation(flow.zone)
        if rotation:
            ip = rotation[int.from_bytes(flow.key[:6], 'big') % len(rotation)]
            self.schedule(CALLER_DELAY_S, lambda: self.deliver_segment(ip, segment))

    def _wake(self, ip: str, paused_s: float) -> None:
        """Lets a frozen instance read the segments that have arrived, before its timers run."""
        if ip in self.down_ips:
            return
        if paused_s > PAUSE_THRESHOLD_S:
            self.steering_by_ip[ip].handle_pause(paused_s, self.now_at(ip))
        for arrived_at, segment in self._backlog_by_ip.pop(ip, ()):
            self._handle_segment(ip, segment, self.now - arrived_at)
        self.steering_by_ip[ip].handle_backlog_end()

    def _handle_segment(self, ip: str, segment: Segment, waited_s: float) -> None:
        steering = self.steering_by_ip[ip]
        steering.handle_segment(segment, self.now_at(ip), waited_s)
        self._perform_actions(ip, steering)

    def _send_opening(self, flow: CallerFlow, retransmission_count: int) -> None:
        if not flow.outcome and flow.backend_id is None:
            self.send_from_caller(
                flow, Segment(flow.key, True, False, False, 7, retransmission_count, 0, b'')
            )

    def _handle_opening_timeout(self, flow: CallerFlow) -> None:
        if flow.backend_id is None:
            self._end_flow(flow, 'gave_up')

    def _end_flow(self, flow: CallerFlow, outcome: str) -> None:
        if not flow.outcome:
            flow.outcome = outcome
            flow.latency_s = self.now - flow.started_at
            self.on_flow_ended(flow)

    def _deliver_to_server(self, ip: str, server: SimulatedServer, segment: Segment) -> None:
        if server.is_dead or (ip, server.backend_server.address.ip) in self.blocked_links:
            return
        flow = self.flow_by_key[segment.flow]
        if segment.is_opening and self.rng.random() < self.opening_loss_ratio:
            return
        if self.segment_loss_ratio and self.rng.random() < self.segment_loss_ratio:
            return
        if server.is_frozen:
            return
        is_first = flow.key not in server.tag_by_flow
        server.tag_by_flow[flow.key] = segment.tag
        if segment.is_opening:
            server.opening_count_by_flow[flow.key] += 1
            server.opening_times.append(self.now)
            if flow.key not in server.open_flows:
                self._send_accept(flow, server, ACCEPT_REPEATED_AFTER_S if is_first else ())
        elif flow.key in server.open_flows:
            if segment.data_length:
                self.on_request(server, flow, segment)
        elif flow.backend_id == server.backend_server.id and not segment.is_closing:
            server.open_flows.add(flow.key)
            server.queued_flows.append(flow)
            self._start_queued_flows(server)
        else:
            server.misrouted_segments += 1

    def _send_accept(
        self, flow: CallerFlow, server: SimulatedServer, repeated_after_s: tuple[float, ...]
    ) -> None:
        """Sends a server's answer to an opening segment, and again while it is unacknowledged."""
        if flow.key in server.open_flows or server.is_dead:
            return
        sequence = server.number * SEQUENCE_STEP
        delay_s = CALLER_DELAY_S + server.accept_delay_s
        tag = server.tag_by_flow[flow.key]
        if self.rng.random() >= self.accept_loss_ratio:
            self.schedule(delay_s, lambda: self._handle_accept(flow, server, sequence, tag))
        if self.repeats_accepts and repeated_after_s:
            pause_s, *later = repeated_after_s
            self.schedule(pause_s, lambda: self._send_accept(flow, server, tuple(later)))

    def _start_queued_flows(self, server: SimulatedServer) -> None:
        while server.queued_flows and server.busy_slots < server.backend_server.slots:
            flow = server.queued_flows.pop(0)
            server.busy_slots += 1
            self.schedule(
                flow.work_s * server.slowness, lambda done=flow: self._finish_work(server, done)
            )

    def _finish_work(self, server: SimulatedServer, flow: CallerFlow) -> None:
        server.busy_slots -= 1
        self._start_queued_flows(server)
        if server.is_silent:
            return
        tag = server.tag_by_flow[flow.key]
        self.schedule(CALLER_DELAY_S, lambda: self._handle_response(flow, tag))

    def _handle_accept(
        self, flow: CallerFlow, server: SimulatedServer, sequence: int, tag: int
    ) -> None:
        """Handles a server's answer to an opening; one after the first only changes the tag."""
        flow.tag = tag
        if flow.outcome:
            return
        if flow.backend_id is None:
            flow.backend_id = server.backend_server.id
            flow.acknowledged = sequence + 1
            segment = self._make_segment(flow)._replace(data_length=REQUEST_BYTES)
            self.send_from_caller(flow, segment)

    def _handle_response(self, flow: CallerFlow, tag: int) -> None:
        flow.tag = tag
        self._end_flow(flow, 'answered')
        flow.acknowledged += 500
        segment = self._make_segment(flow)
        self.send_from_caller(flow, segment._replace(is_closing=not flow.stays_open))

    def _make_segment(self, flow: CallerFlow) -> Segment:
        return Segment(flow.key, False, False, False, 8, flow.acknowledged, flow.tag, b'')
