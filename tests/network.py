"""Simulated network of entry instances, fake servers and callers with faults and a clock."""

import heapq
import json
from collections import Counter, defaultdict
from collections.abc import Callable
from dataclasses import dataclass, field
from itertools import count
from random import Random
from typing import Any

from aiocoap import ACK, CON, Message
from aiocoap.numbers.codes import Code

from berylstair.action import (
    DiscardPendingDatagrams,
    ForwardDatagram,
    SendToBackend,
    SendToCaller,
    SendToPeer,
    Stopped,
)
from berylstair.claim import SpreadWitnessPlacement, WitnessPlacement
from berylstair.core import CoreSettings
from berylstair.event import (
    BackendDatagram,
    CallerDatagram,
    Flush,
    ForwardedDatagram,
    PeerClosed,
    PeerMessage,
    PeerOpened,
    RecordRead,
    SourceConfirmed,
    StopRequested,
    TimerDue,
)
from berylstair.ids import Endpoint, InstanceId, parse_endpoint
from berylstair.instance import EntryInstance, InstanceDependencies
from berylstair.message import decode_message, encode_message
from berylstair.policy import LeastLoaded
from berylstair.proxy import HeaderDecoder, Tlv, split_datagram

REQUEST_LIFETIME_S = 8.0
REQUEST_DEADLINE_MS = 2000
ZONES = ('a-side', 'b-side', 'c-side')
DESK_ADDRESS = Endpoint('10.0.0.1', 5683)
MAPS_ADDRESS = Endpoint('10.0.0.2', 4433)
_LATENCY_RANGE_S = (0.0005, 0.003)


@dataclass
class Node:
    """One instance on the network.

    Attributes:
        instance: None while the process is dead.
        paused_until: Time at which a paused instance resumes, in seconds.
        inbox: Events that arrived during a pause.
    """

    name: InstanceId
    zone: str
    instance: EntryInstance | None = None
    paused_until: float = 0.0
    inbox: list[Any] = field(default_factory=list)
    is_stopped: bool = False


@dataclass
class FakeServer:
    """A backend server that runs each attempt once and answers after its own delay.

    Attributes:
        shed_ratio: Share of requests that it refuses as overloaded.
        run_counts: Number of runs by request payload.
        packet_counts_by_caller: Number of flow packets received by caller.
        seen_attempts: Attempts received, to drop duplicates.
    """

    name: str
    zone: str
    address: Endpoint
    delay_s: float = 0.02
    shed_ratio: float = 0.0
    run_counts: Counter[bytes] = field(default_factory=Counter)
    packet_counts_by_caller: Counter[Endpoint] = field(default_factory=Counter)
    seen_attempts: set[bytes] = field(default_factory=set)


class Network:
    """Instances, servers and callers that share one simulated clock."""

    def __init__(
        self,
        seed: int = 1,
        instances: int = 6,
        witness_placement: WitnessPlacement | None = None,
        **setting_overrides: Any,
    ) -> None:
        """Publishes version 1 of every record and starts all instances.

        Args:
            seed: Seed of the random generator for faults and instances.
            instances: Number of instances.
            witness_placement: How witnesses are chosen.
            setting_overrides: Core settings that replace the defaults.
        """
        self.rng = Random(seed)
        self.now = 100.0
        self.witness_placement = witness_placement or SpreadWitnessPlacement()
        self._inbound_dropped_until: dict[str, float] = {}
        self.setting_overrides = {
            'request_lifetime_s': REQUEST_LIFETIME_S,
            'linger_s': 0.2,
            **setting_overrides,
        }
        self.faults = {'drop': 0.0, 'double': 0.0, 'delay_s': _LATENCY_RANGE_S}
        self.partitioned_zones: set[str] = set()
        self.record_text_by_key: dict[str, str] = {}
        self.responses_by_token: dict[bytes, list[Message]] = defaultdict(list)
        self.flow_replies_by_caller: dict[Endpoint, list[bytes]] = defaultdict(list)
        self.misdelivered_count = 0
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._sequence = count()
        self._incarnations = count(1000)
        self._header_decoder = HeaderDecoder()
        self._last_arrival_by_route: dict[tuple[str, str], float] = defaultdict(float)
        self._connections: set[frozenset[str]] = set()
        self.node_by_name = {
            InstanceId(f'n{index}'): Node(InstanceId(f'n{index}'), ZONES[index % len(ZONES)])
            for index in range(instances)
        }
        self.server_by_address = {
            address: FakeServer(f's{index}', ZONES[index % len(ZONES)], address)
            for index, address in enumerate(Endpoint('10.1.0.1', 7000 + port) for port in range(6))
        }
        self.publish_instances(1)
        self.publish_desk(1)
        self.publish_maps(1)
        for name in self.node_by_name:
            self.start(name)

    # Records.

    def publish(self, key: str, record: dict[str, Any], readers: list[str] | None = None) -> None:
        """Publishes a record and delivers it to the given instances, or to all."""
        self.record_text_by_key[key] = json.dumps({'schema': 2, **record})
        for name in self.node_by_name if readers is None else readers:
            self.deliver_record(InstanceId(name), self.record_text_by_key[key])

    def deliver_record(self, name: InstanceId, text: str) -> None:
        """Delivers a record text to one instance, as if read from the platform."""
        self._deliver(name, RecordRead('platform', text))
        self._deliver(name, SourceConfirmed())

    def publish_instances(
        self,
        version: int,
        leave_out: tuple[str, ...] = (),
        readers: list[str] | None = None,
    ) -> None:
        """Publishes the list of instances."""
        rows = [
            {
                'id': node.name,
                'zone': node.zone,
                'peer': f'10.2.0.1:{8000 + index}',
                'forward': f'10.2.0.1:{9000 + index}',
                'admin': f'10.2.0.1:{10000 + index}',
            }
            for index, node in enumerate(self.node_by_name.values())
            if node.name not in leave_out
        ]
        self.publish(
            'instances',
            {'kind': 'instances', 'version': version, 'instances': rows},
            readers,
        )

    def publish_desk(self, version: int, leaving: tuple[str, ...] = (), **keys: Any) -> None:
        """Publishes the request service."""
        operations = [{'method': 'POST', 'path': '/', 'idempotent': False}]
        contract = {'kind': 'request', 'deadline_ms': REQUEST_DEADLINE_MS, 'operations': operations}
        self._publish_service('desk', DESK_ADDRESS, version, contract, leaving, **keys)

    def publish_maps(self, version: int, leaving: tuple[str, ...] = (), **keys: Any) -> None:
        """Publishes the flow service."""
        contract = {'kind': 'flow', 'flow_idle_s': 20}
        self._publish_service('maps', MAPS_ADDRESS, version, contract, leaving, **keys)

    def _publish_service(
        self,
        name: str,
        address: Endpoint,
        version: int,
        contract: dict[str, Any],
        leaving: tuple[str, ...],
        readers: list[str] | None = None,
        **keys: Any,
    ) -> None:
        rows = [
            {
                'id': server.name,
                'zone': server.zone,
                'address': str(server.address),
                'slots': 3,
                'state': 'leaving' if server.name in leaving else 'active',
            }
            for server in self.server_by_address.values()
        ]
        record = {
            'kind': 'service',
            'version': version,
            'name': name,
            'addresses': [str(address)],
            'contract': contract,
            'backend_servers': rows,
            'quarantine_s': 5.0,
            **keys,
        }
        self.publish(f'service/{name}', record, readers)

    # Faults.

    def start(self, name: str, reads_records: bool = True, **setting_overrides: Any) -> None:
        """Starts an instance, or restarts it with its state lost."""
        node = self.node_by_name[name]
        self.kill(name)
        settings = CoreSettings(
            node.name,
            node.zone,
            next(self._incarnations),
            **{**self.setting_overrides, **setting_overrides},
        )
        dependencies = InstanceDependencies(
            LeastLoaded(prefers_same_zone=False), self.witness_placement, Random(self.rng.random())
        )
        node.instance = EntryInstance(settings, dependencies, self.now)
        node.paused_until = 0.0
        node.is_stopped = False
        self._open_connections()
        if reads_records:
            for text in self.record_text_by_key.values():
                self.deliver_record(name, text)
        self._schedule_timer(node)

    def kill(self, name: InstanceId) -> None:
        """Kills an instance without a planned stop."""
        node = self.node_by_name[name]
        node.instance = None
        node.inbox.clear()
        self._close_connections()

    def stop(self, name: InstanceId) -> None:
        """Requests a planned stop."""
        self._deliver(name, StopRequested())

    def pause(self, name: InstanceId, seconds: float) -> None:
        """Pauses an instance; events that arrive meanwhile are delivered when it resumes."""
        node = self.node_by_name[name]
        node.paused_until = self.now + seconds
        instance = node.instance
        self.schedule(seconds, lambda: self._resume(node, instance))

    def drop_inbound_messages(self, name: str, seconds: float) -> None:
        """Drops peer messages to an instance for a time, as when connections are replaced."""
        self._inbound_dropped_until[name] = self.now + seconds

    def partition_zone(self, zone: str) -> None:
        """Partitions a zone from the others."""
        self.partitioned_zones.add(zone)
        self._close_connections()

    def heal(self) -> None:
        """Ends all partitions."""
        self.partitioned_zones.clear()
        self._open_connections()

    # Callers.

    def send_request(
        self, request_number: int, name: str, code: Code = Code.POST, path: str = 'r'
    ) -> None:
        """Delivers a copy of a request from its caller to an instance."""
        message = Message(
            code=code,
            _mtype=CON,
            _mid=request_number % (1 << 16),
            _token=request_number.to_bytes(4, 'big'),
            uri_path=(path,),
            payload=request_number.to_bytes(4, 'big'),
        )
        caller = Endpoint('10.9.0.1', 20000 + request_number % 40000)
        self._deliver(InstanceId(name), CallerDatagram(DESK_ADDRESS, caller, message.encode()))

    def send_flow_packet(self, caller: Endpoint, name: str, payload: bytes = b'x') -> None:
        """Delivers a packet of a flow from its caller to an instance."""
        self._deliver(InstanceId(name), CallerDatagram(MAPS_ADDRESS, caller, payload))

    def run_count(self, request_number: int) -> int:
        """Returns how often a request ran."""
        key = request_number.to_bytes(4, 'big')
        return sum(server.run_counts[key] for server in self.server_by_address.values())

    def handle_event(self, name: str, event: Any) -> list[Any]:
        """Passes an event to one instance and returns its actions without performing them."""
        return self.node_by_name[InstanceId(name)].instance.handle(event, self.now)

    def response_codes(self, request_number: int) -> set[Code]:
        """Returns the response codes that the caller of a request received."""
        return {
            response.code for response in self.responses_by_token[request_number.to_bytes(4, 'big')]
        }

    def servers_reached_by(self, caller: Endpoint) -> set[str]:
        """Returns the names of the servers that received packets of a flow."""
        servers = self.server_by_address.values()
        return {server.name for server in servers if server.packet_counts_by_caller[caller]}

    # Time.

    def schedule(self, delay_s: float, action: Callable[[], None]) -> None:
        """Calls a function after a delay."""
        heapq.heappush(self._events, (self.now + delay_s, next(self._sequence), action))

    def run(self, seconds: float) -> None:
        """Advances the clock and runs the scheduled events that become due."""
        until = self.now + seconds
        while self._events and self._events[0][0] <= until:
            self.now, _, action = heapq.heappop(self._events)
            action()
        self.now = until

    # Delivery.

    def _deliver(self, name: InstanceId, event: Any) -> None:
        node = self.node_by_name[name]
        if node.instance is None:
            return
        if self.now < node.paused_until:
            node.inbox.append(event)
            return
        self._perform_actions(node, node.instance.handle(event, self.now))
        if node.instance is not None:
            self._perform_actions(node, node.instance.handle(Flush(), self.now))
            self._schedule_timer(node)

    def _schedule_timer(self, node: Node) -> None:
        instance = node.instance
        wake_at = instance.wake_at if instance else None
        if wake_at is not None:
            self.schedule(max(wake_at - self.now, 0), lambda: self._handle_timer(node, instance))

    def _handle_timer(self, node: Node, instance: EntryInstance | None) -> None:
        is_due = (
            instance is not None and instance.wake_at is not None and instance.wake_at <= self.now
        )
        if node.instance is instance and is_due and self.now >= node.paused_until:
            self._deliver(node.name, TimerDue())

    def _resume(self, node: Node, instance: EntryInstance | None) -> None:
        if node.instance is not instance or instance is None:
            return
        inbox, node.inbox = node.inbox, []
        actions = instance.handle(TimerDue(), self.now)
        if any(isinstance(action, DiscardPendingDatagrams) for action in actions):
            datagram_types = (CallerDatagram, ForwardedDatagram)
            inbox = [event for event in inbox if not isinstance(event, datagram_types)]
        self._perform_actions(node, actions)
        for event in inbox:
            self._deliver(node.name, event)
        self._deliver(node.name, TimerDue())

    def _perform_actions(self, node: Node, actions: list[Any]) -> None:
        for action in actions:
            if isinstance(action, SendToPeer):
                self._send_to_peer(node, action)
            elif isinstance(action, ForwardDatagram):
                self._forward_datagram(node, action)
            elif isinstance(action, SendToBackend):
                self._send_to_server(node, action)
            elif isinstance(action, SendToCaller):
                self._record_response(action)
            elif isinstance(action, Stopped):
                node.is_stopped = True
                self.schedule(0, lambda: self.kill(node.name))

    def _send_to_peer(self, node: Node, action: SendToPeer) -> None:
        if frozenset((node.name, action.peer)) not in self._connections:
            return
        data = encode_message(action.message)
        route = (node.name, action.peer)
        arrival = max(self.now + self._delay_s(), self._last_arrival_by_route[route] + 1e-6)
        self._last_arrival_by_route[route] = arrival
        event = PeerMessage(node.name, decode_message(data))
        self.schedule(arrival - self.now, lambda: self._deliver_peer_message(route, event))

    def _deliver_peer_message(self, route: tuple[str, str], event: PeerMessage) -> None:
        is_lost = self.now < self._inbound_dropped_until.get(route[1], 0)
        if frozenset(route) in self._connections and not is_lost:
            self._deliver(InstanceId(route[1]), event)

    def _forward_datagram(self, node: Node, action: ForwardDatagram) -> None:
        raw, payload = split_datagram(action.datagram)
        event = ForwardedDatagram(self._header_decoder.decode(raw), payload)
        target = self.node_by_name[action.peer]
        self._transmit(node.zone, target.zone, lambda: self._deliver(target.name, event))

    def _send_to_server(self, node: Node, action: SendToBackend) -> None:
        server = self.server_by_address[action.target]
        raw, payload = split_datagram(action.datagram)
        self._transmit(
            node.zone, server.zone, lambda: self._handle_at_server(node, server, raw, payload)
        )

    def _handle_at_server(self, node: Node, server: FakeServer, raw: bytes, payload: bytes) -> None:
        header = self._header_decoder.decode(raw)
        if header.tlvs[Tlv.SERVICE] != (b'desk' if header.address == DESK_ADDRESS else b'maps'):
            self.misdelivered_count += 1
        if Tlv.CANCEL in header.tlvs:
            return
        answer = payload
        if Tlv.ATTEMPT in header.tlvs:
            if header.tlvs[Tlv.ATTEMPT] in server.seen_attempts:
                return  # duplicated by the link; servers drop duplicates (RFC 7252, section 4.2)
            server.seen_attempts.add(header.tlvs[Tlv.ATTEMPT])
            answer = self._run_request(server, payload)
        else:
            server.packet_counts_by_caller[header.caller] += 1
        event = BackendDatagram(server.address, header, answer)
        send_back = lambda: self._deliver(node.name, event)
        self.schedule(server.delay_s, lambda: self._transmit(server.zone, node.zone, send_back))

    def _run_request(self, server: FakeServer, payload: bytes) -> bytes:
        message = Message.decode(payload)
        code = Code.CREATED
        if self.rng.random() < server.shed_ratio:
            code = Code.SERVICE_UNAVAILABLE
        else:
            server.run_counts[message.payload] += 1
        response = Message(
            code=code,
            _mtype=ACK,
            _mid=message.mid,
            _token=message.token,
            payload=message.payload,
        )
        return response.encode()

    def _record_response(self, action: SendToCaller) -> None:
        if action.address == MAPS_ADDRESS:
            self.flow_replies_by_caller[action.caller].append(action.payload)
            return
        message = Message.decode(action.payload)
        self.responses_by_token[message.token].append(message)

    def _transmit(self, source_zone: str, target_zone: str, deliver: Callable[[], None]) -> None:
        """Delivers a datagram never, once or twice; a partition between the zones drops it."""
        is_blocked = source_zone != target_zone and bool(
            {source_zone, target_zone} & self.partitioned_zones
        )
        if is_blocked or self.rng.random() < self.faults['drop']:
            return
        copies = 2 if self.rng.random() < self.faults['double'] else 1
        for _ in range(copies):
            self.schedule(self._delay_s(), deliver)

    def _delay_s(self) -> float:
        return self.rng.uniform(*self.faults['delay_s'])

    def _desired_connections(self) -> set[frozenset[str]]:
        running_nodes = [node for node in self.node_by_name.values() if node.instance is not None]
        return {
            frozenset((one.name, other.name))
            for one in running_nodes
            for other in running_nodes
            if one.name < other.name
            and (one.zone == other.zone or not {one.zone, other.zone} & self.partitioned_zones)
        }

    def _open_connections(self) -> None:
        for pair in sorted(self._desired_connections() - self._connections, key=sorted):
            self._connections.add(pair)
            self._notify_connection_event(pair, PeerOpened)

    def _close_connections(self) -> None:
        for pair in sorted(self._connections - self._desired_connections(), key=sorted):
            self._connections.discard(pair)
            self._notify_connection_event(pair, PeerClosed)

    def _notify_connection_event(self, pair: frozenset[str], event_type: type[Any]) -> None:
        one, other = sorted(pair)
        self._deliver(InstanceId(one), event_type(InstanceId(other)))
        self._deliver(InstanceId(other), event_type(InstanceId(one)))


def caller_endpoint(number: int) -> Endpoint:
    """Returns a caller's address."""
    return parse_endpoint(f'10.9.1.1:{20000 + number}')
