"""Environment of one soak run: store, fabric, instances, servers and callers."""

import asyncio
from collections.abc import Callable
from contextlib import AsyncExitStack
from dataclasses import dataclass
from ipaddress import IPv4Address
from itertools import count
from pathlib import Path
from random import Random
from tempfile import TemporaryDirectory
from typing import Any, Self

from berylstair.ids import Endpoint
from emulator.platform_pages import SERVICE_IP, make_configuration, make_route, make_server_entry
from emulator.platform_store import PlatformStore, StoreCopy, StoreFault
from emulator.udp import find_free_ports
from soak.callers import Caller, CallerFlow
from soak.clock import RunClock
from soak.fleet import EVACUATION_LIMIT_MS, SETTLING_S, InstanceProcess, ProcessFleet, RunLayout
from soak.links import Links
from soak.observations import Promise, RequestOutcome, RunObservations
from soak.servers import BackendServer, ServerAddress

__all__ = ['CALLERS', 'SERVICES', 'ZONES', 'SoakEnvironment']

SERVICES = ('reports-desk', 'mapserve')
ZONES = ('tame-side', 'avon-side', 'trent-side')
# End of the links from the servers to the callers.
CALLERS = 'callers'
_SERVER_OCTET, _CALLER_OCTET = 4, 5
SERVER_HEARTBEAT_INTERVAL_S = 1.2
ENTRY_EXPIRY_S = 3 * SERVER_HEARTBEAT_INTERVAL_S
# Limits from the users' rules, in seconds.
DRAIN_APPLY_LIMIT_S = 3.0
PEER_PROPAGATION_LIMIT_S = 6.0
CONFIG_APPLY_LIMIT_S = 3.0
EVACUATION_LIMIT_S = EVACUATION_LIMIT_MS / 1000
# An unstable store extends the limit by as much as for leaving servers.
EVACUATION_BY_PEERS_LIMIT_S = 8.0
ADDRESS_REUSE_DELAY_S = 2.0
# Longest time for which a leaving server keeps serving beyond DRAIN_APPLY_LIMIT_S.
MAX_EXTRA_DRAIN_S = 8.0
# Longest time that a packet takes between two processes on a busy machine.
DELIVERY_SLACK_S = 0.3


@dataclass(slots=True)
class Route:
    """A service address.

    Attributes:
        added_at: Time at which the configuration that adds it was published.
        removed_at: Time at which a configuration without it was published,
            None before.
        refused_by: Names of instances that have applied the removal.
    """

    port: int
    service: str
    added_at: float
    removed_at: float | None
    refused_by: set[str]


class SoakEnvironment:
    """Starts and connects all parts of a run, as an asynchronous context manager."""

    def __init__(self, seed: int, instance_count: int, server_count: int) -> None:
        """Prepares a run.

        Args:
            seed: Seed of the random generators.
            instance_count: Number of instances.
            server_count: Number of backend servers; two thirds serve the first service.
        """
        self.rng = Random(seed)
        self.clock = RunClock()
        self.observations = RunObservations()
        self.links = Links(Random(self.rng.random()))
        self.store_disrupted_until = 0.0
        self.server_addresses: list[ServerAddress] = []
        self.callers: list[Caller] = []
        self.routes: list[Route] = []
        self.evacuated_at_by_zone: dict[str, float] = {}
        self._folder = TemporaryDirectory(prefix='berylstair-soak-')
        self.layout = RunLayout(
            10 + seed % 100,
            instance_count,
            ZONES,
            tuple(find_free_ports(6)),
            Path(self._folder.name),
        )
        self._server_count = server_count
        self._exit_stack = AsyncExitStack()
        self._forced_instance_by_caller: dict[Endpoint, InstanceProcess] = {}
        self._request_numbers = count(1)
        self._server_numbers = count(1)
        self._configuration_versions = count(1)
        self._entry_sequence_numbers = count(1)
        self._configuration: dict[str, Any] = {}
        self._route_ports = count(443)

    async def __aenter__(self) -> Self:
        """Starts all parts and waits until all instances are ready."""
        stack = self._exit_stack
        stack.callback(self._folder.cleanup)
        self.store = PlatformStore(Endpoint('127.0.0.1', 0))
        stack.callback(self.store.close)
        self.fleet = ProcessFleet(self.layout, self.links, self.clock, self.observations)
        for service in SERVICES:
            self.add_route(service)
        for number in range(self._server_count):
            self._open_server_address(number)
            # Two of three servers serve the first service.
            self.start_server(number, SERVICES[number % 3 // 2])
        stack.callback(self.fleet.close)
        await self.fleet.start(self.store.endpoint)
        self._start_task(self.fleet.run_health_checks())
        self._start_task(self._send_server_heartbeats())
        for number, _zone in enumerate(ZONES):
            caller = Caller(
                self.layout.ip(_CALLER_OCTET, number),
                self.layout.ports[0],
                self._send_through_fabric,
                self.clock,
                self.observations,
                Random(self.rng.random()),
            )
            caller.is_flow_held = self.is_flow_held
            self.callers.append(caller)
            stack.callback(caller.close)
        while any(instance.missed_checks for instance in self.fleet.instances):
            await asyncio.sleep(0.1)
        return self

    async def __aexit__(self, *_error: object) -> None:
        """Stops all parts that were started."""
        await self._exit_stack.aclose()

    # Callers.

    def service_address(self, service: str) -> Endpoint:
        """Returns the address of a service's first route, which is never removed."""
        return Endpoint(SERVICE_IP, self.routes[SERVICES.index(service)].port)

    async def send_request(self, service: str | None = None, work_ms: int = 20) -> RequestOutcome:
        """Sends one request from a random caller, to a random service if none is given."""
        chosen_service = service or self.rng.choice(SERVICES)
        caller = self.rng.choice(self.callers)
        return await caller.send_request(
            self.service_address(chosen_service), next(self._request_numbers), work_ms
        )

    async def send_flow_request(self, caller: Caller, flow: CallerFlow) -> RequestOutcome:
        """Sends one request on an open flow."""
        return await caller.send_flow_request(flow, next(self._request_numbers), 20)

    async def open_flow_through(self, route: Route, instance: InstanceProcess) -> RequestOutcome:
        """Opens a flow through the given instance and closes it again.

        Returns:
            ANSWERED if the flow opened, else why it did not.
        """
        caller = self.rng.choice(self.callers)
        flow = caller.create_flow(Endpoint(SERVICE_IP, route.port))
        self._forced_instance_by_caller[flow.caller_address] = instance
        outcome = await flow.open()
        self._forced_instance_by_caller.pop(flow.caller_address)
        flow.close()
        return outcome or RequestOutcome.ANSWERED

    def is_flow_held(self, flow: CallerFlow) -> bool:
        """Returns whether the server that a flow opened at runs and holds it."""
        caller = (int(IPv4Address(flow.caller_address.ip)), flow.caller_address.port)
        return any(
            address.server is not None
            and address.endpoint.ip == flow.server_ip
            and any(key[2:] == caller for key in address.server.flow_by_key)
            for address in self.server_addresses
        )

    def _send_through_fabric(self, packet: bytes, source: Endpoint) -> None:
        """Sends a caller's packet to an instance, as the fabric does with its ``mod`` hash."""
        zone = ZONES[int(source.ip.rpartition('.')[2]) - 1]
        rotation = self.fleet.instances_in_rotation(zone)
        instance = (
            self._forced_instance_by_caller.get(source) or rotation[source.port % len(rotation)]
        )
        target = Endpoint(instance.ip, self.layout.ports[0])
        caller = self.callers[ZONES.index(zone)]
        link = self.links.get_link('fabric', instance.name)
        link.transmit(lambda: caller.send_packet(packet, target))

    # Servers.

    def start_server(self, number: int, service: str, name: str = '') -> BackendServer:
        """Starts a server at an address and registers it."""
        server_id = name or f'i-{next(self._server_numbers):08x}'
        server = BackendServer(server_id, service, self.clock, self.observations)
        self.server_addresses[number].server = server
        self.register_server(number)
        return server

    def register_server(self, number: int) -> None:
        """Writes the directory entry of the server at an address to the store."""
        address = self.server_addresses[number]
        server = address.server
        if server is None:
            return
        state = 'ready' if server.leaving_since is None else 'draining'
        entry = make_server_entry(server.service, address.endpoint, state) | {
            'zone': ZONES[number % len(ZONES)],
            'seq': next(self._entry_sequence_numbers),
            'born': server.started_at_ms,
        }
        self.store.put(f'servers/{server.name}', entry)

    async def crash_server(self, number: int, down_s: float, is_same_id: bool) -> None:
        """Ends a server without notice and later starts one at the same address."""
        server = self._end_server(number)
        if server is None:
            return
        await asyncio.sleep(min(down_s, ENTRY_EXPIRY_S))
        if down_s >= ENTRY_EXPIRY_S or not is_same_id:
            await asyncio.sleep(max(ENTRY_EXPIRY_S - down_s, 0))
            self.store.remove(f'servers/{server.name}')
        self.start_server(number, server.service, server.name if is_same_id else '')

    async def drain_and_replace_server(self, number: int, service: str) -> None:
        """Drains a server, then starts another one, of the given service, at its address."""
        address = self.server_addresses[number]
        server = address.server
        if server is None or server.leaving_since is not None:
            return
        server.leaving_since = self.clock.now()
        self.register_server(number)
        await asyncio.sleep(DRAIN_APPLY_LIMIT_S + self.rng.uniform(0.5, MAX_EXTRA_DRAIN_S))
        if address.server is not server:
            return
        self._end_server(number)
        self.store.remove(f'servers/{server.name}')
        await asyncio.sleep(ADDRESS_REUSE_DELAY_S)
        self.start_server(number, service)

    def _end_server(self, number: int) -> BackendServer | None:
        address = self.server_addresses[number]
        server = address.server
        if server is not None:
            server.ended_at = self.clock.now()
            address.server = None
        return server

    def _open_server_address(self, number: int) -> None:
        endpoint = Endpoint(self.layout.ip(_SERVER_OCTET, number), self.layout.ports[4])

        def transmit(source: Endpoint, deliver: Callable[[], None]) -> None:
            sender = self.fleet.instance_by_ip.get(source.ip)
            if sender is not None:
                self.links.get_link(sender.name, f'server-{number}').transmit(deliver)

        def on_opening(port: int, server: BackendServer, source: Endpoint, is_first: bool) -> None:
            instance = self.fleet.instance_by_ip[source.ip]
            self._check_evacuation(ZONES[number % len(ZONES)], server, instance)
            if is_first:
                self._check_opened_flow(port, server, instance)

        answers = self.links.get_link(f'server-{number}', CALLERS)
        address = ServerAddress(
            endpoint, self.layout.ports[0], transmit, answers.transmit, on_opening
        )
        self.server_addresses.append(address)
        self._exit_stack.callback(address.close)

    def _check_opened_flow(
        self, port: int, server: BackendServer, instance: InstanceProcess
    ) -> None:
        """Checks that a new flow uses a current route to a server of its service.

        A flow through a removed route or to a leaving server is a finding once
        the time limit for the change has passed.
        """
        now = self.clock.now()
        detail = f'{instance.name} port={port} server={server.name}'
        route = next((candidate for candidate in self.routes if candidate.port == port), None)
        if route is None or route.service != server.service:
            self.observations.add_finding(
                Promise.RIGHT_SERVICE, now, f'{detail} of {server.service}'
            )
            return
        if server.leaving_since is not None:
            age_s = now - server.leaving_since
            if (
                age_s
                > self._time_limit_s(instance, DRAIN_APPLY_LIMIT_S, PEER_PROPAGATION_LIMIT_S)
                + DELIVERY_SLACK_S
            ):
                self.observations.add_finding(
                    Promise.LEAVING, now, f'{detail} left {age_s:.1f} s ago'
                )
        if route.removed_at is not None:
            age_s = now - route.removed_at
            is_late = (
                age_s
                > self._time_limit_s(instance, CONFIG_APPLY_LIMIT_S, PEER_PROPAGATION_LIMIT_S)
                + DELIVERY_SLACK_S
            )
            if is_late or instance.name in route.refused_by:
                self.observations.add_finding(
                    Promise.CONFIGURATION, now, f'{detail} route removed {age_s:.1f} s ago'
                )

    def _check_evacuation(
        self, zone: str, server: BackendServer, instance: InstanceProcess
    ) -> None:
        """Checks that an opening segment does not reach an evacuated zone after the time limit."""
        now = self.clock.now()
        age_s = now - self.evacuated_at_by_zone.get(zone, now)
        limit_s = self._time_limit_s(instance, EVACUATION_LIMIT_S, EVACUATION_BY_PEERS_LIMIT_S)
        if age_s > limit_s + DELIVERY_SLACK_S:
            detail = f'{instance.name} server={server.name} {zone} evacuated {age_s:.1f} s ago'
            self.observations.add_finding(Promise.EVACUATION, now, detail)

    def _time_limit_s(self, instance: InstanceProcess, usual_s: float, by_peers_s: float) -> float:
        """Returns the time limit that applies to an instance, in seconds.

        Args:
            instance: Instance that has to apply a change.
            usual_s: Limit while the store works.
            by_peers_s: Limit if the store was recently disrupted, so that
                changes may come from peers only.

        Returns:
            The limit, infinite if the instance was recently disrupted.
        """
        now = self.clock.now()
        if not self.fleet.is_settled(instance, now):
            return float('inf')
        return usual_s if now - self.store_disrupted_until >= SETTLING_S else by_peers_s

    async def _send_server_heartbeats(self) -> None:
        while True:
            await asyncio.sleep(SERVER_HEARTBEAT_INTERVAL_S)
            for number, _address in enumerate(self.server_addresses):
                self.register_server(number)

    # The operator and the store.

    def add_route(self, service: str) -> Route:
        """Publishes a configuration with an additional route."""
        port = next(self._route_ports)
        route = Route(port, service, self.clock.now(), None, set())
        self.routes.append(route)
        self._publish_configuration()
        return route

    def remove_route(self, route: Route) -> None:
        """Publishes a configuration without a route."""
        route.removed_at = self.clock.now()
        self._publish_configuration()

    def is_route_change_due(self, instance: InstanceProcess, route: Route) -> bool:
        """Returns whether the time limit for a route's last change has passed at an instance."""
        return self._route_change_age_s(route) > self._time_limit_s(
            instance, CONFIG_APPLY_LIMIT_S, PEER_PROPAGATION_LIMIT_S
        )

    async def check_route(self, route: Route) -> None:
        """Checks at every settled instance that a route's last change is in force."""
        for instance in self.fleet.instances:
            if not self.is_route_change_due(instance, route):
                continue
            age_s = self._route_change_age_s(route)
            is_refused = await self._is_route_refused(route, instance)
            is_settled = self.fleet.is_settled(instance, self.clock.now())
            if is_refused and is_settled:
                self._record_route_refusal(route, instance, age_s)

    def _route_change_age_s(self, route: Route) -> float:
        changed_at = route.added_at if route.removed_at is None else route.removed_at
        return self.clock.now() - changed_at

    async def _is_route_refused(self, route: Route, instance: InstanceProcess) -> bool:
        """Returns whether an instance refuses a route but serves the route's service.

        If no server of the service accepts flows, its permanent address is
        refused as well, and a refusal does not show that the route is missing.
        """
        permanent = self.routes[SERVICES.index(route.service)]
        expected = (RequestOutcome.REFUSED, RequestOutcome.ANSWERED, RequestOutcome.REFUSED)
        for tried_route, outcome in zip((route, permanent, route), expected, strict=True):
            if await self.open_flow_through(tried_route, instance) is not outcome:
                return False
        return True

    def _record_route_refusal(self, route: Route, instance: InstanceProcess, age_s: float) -> None:
        """Records that an instance has applied a removal, or reports a missing route."""
        if route.removed_at is None:
            detail = f'{instance.name} port={route.port} refused after {age_s:.1f} s'
            self.observations.add_finding(Promise.CONFIGURATION, self.clock.now(), detail)
        else:
            route.refused_by.add(instance.name)

    async def evacuate_zone(self, zone: str, for_s: float) -> None:
        """Evacuates a zone for longer than the time limit, unless it is evacuated already."""
        if zone in self.evacuated_at_by_zone:
            return
        self.store.put(f'op/evacuate/{zone}', {})
        self.evacuated_at_by_zone[zone] = self.clock.now()
        await asyncio.sleep(EVACUATION_LIMIT_S + for_s)
        self.evacuated_at_by_zone.pop(zone)
        self.store.remove(f'op/evacuate/{zone}')

    async def mark_store_disrupted(self, for_s: float) -> None:
        """Counts the store as disrupted until the end of a pause."""
        self.store_disrupted_until = max(self.store_disrupted_until, self.clock.now() + for_s)
        await asyncio.sleep(for_s)

    async def inject_store_fault(self, fault: StoreFault, for_s: float) -> None:
        """Injects a store fault that affects all instances."""
        self.store.fault = fault
        await self.mark_store_disrupted(for_s)
        self.store.fault = StoreFault.NONE

    async def restore_store(self, copy: StoreCopy, down_s: float) -> None:
        """Makes the store go back to a copy; operator and servers write again.

        Args:
            copy: Content that the store has afterwards.
            down_s: Seconds for which the store is down before.
        """
        await self.inject_store_fault(StoreFault.RESET, down_s)
        self.store.restore(copy)
        self.store.put('op/config', self._configuration)
        self._start_task(self._expire_entries())

    async def _expire_entries(self) -> None:
        """Removes the entries of ended servers that a restore has brought back."""
        await asyncio.sleep(ENTRY_EXPIRY_S)
        registered = {
            f'servers/{address.server.name}' for address in self.server_addresses if address.server
        }
        for key in self.store.find_keys('servers/') - registered:
            self.store.remove(key)

    def _publish_configuration(self) -> None:
        routes = [
            make_route(f'route-{route.port}', route.service, route.port)
            for route in self.routes
            if route.removed_at is None
        ]
        self._configuration = make_configuration(next(self._configuration_versions), routes)
        self.store.put('op/config', self._configuration)

    def _start_task(self, work: Any) -> None:
        task = asyncio.create_task(work)
        self._exit_stack.callback(task.cancel)
