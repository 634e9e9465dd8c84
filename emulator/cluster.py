"""Starts instances and emulators as processes, and injects faults into them."""

import json
import signal
import subprocess
import sys
import time
from collections.abc import Callable
from dataclasses import dataclass, field
from pathlib import Path
from tempfile import TemporaryDirectory
from types import TracebackType
from typing import Any, Self

from berylstair.client import AdminClient
from emulator.udp import find_free_ports

__all__ = [
    'Cluster',
    'ClusterSpec',
    'EmulatorProcess',
    'ServiceSpec',
    'carril_seis_spec',
    'severn_vale_spec',
    'wait_until',
]

WAIT_TIMEOUT_S = 30.0
_POLL_INTERVAL_S = 0.02


@dataclass(frozen=True, slots=True)
class ServiceSpec:
    """One service of a cluster.

    Attributes:
        contract_kind: ``request`` or ``flow``.
        server_count: Backend servers; unused with ``shares_backends_of``.
        backend_config: Fields of BackendConfig that differ from its defaults.
        shares_backends_of: Another service whose backend servers it uses.
    """

    name: str
    contract_kind: str
    server_count: int
    operations: tuple[dict[str, Any], ...] = ()
    deadline_ms: int = 3000
    flow_idle_s: float = 30.0
    backend_config: dict[str, Any] = field(default_factory=dict)
    shares_backends_of: str = ''


@dataclass(frozen=True, slots=True)
class ClusterSpec:
    """Zones, instances and services of a cluster.

    Attributes:
        instances: Number of entry instances, spread over the zones.
        limits: Limits in the instances' settings.
        has_proxy: Whether to put a fault-injecting proxy on every link.
    """

    zones: tuple[str, ...]
    instances: int
    services: tuple[ServiceSpec, ...]
    limits: dict[str, Any] = field(default_factory=dict)
    policy: str = 'least_loaded'
    witness_placement: str = 'spread'
    has_proxy: bool = False
    quarantine_s: float = 5.0
    seed: int = 1


_SHORT_LIMITS = {'request_lifetime_s': 4, 'linger_s': 2}
_POST_REPORT_OPERATION = {
    'method': 'POST',
    'path': '/reports',
    'idempotent': False,
    'deadline_ms': 3000,
}
_LONG_OPERATION = {'method': 'GET', 'path': '/long', 'work': 'long', 'deadline_ms': 10000}


def severn_vale_spec(**changes: Any) -> ClusterSpec:
    """Returns Severn Vale's cluster: three zones, two services, one also as flows.

    Args:
        changes: Fields of ClusterSpec to replace.
    """
    services = (
        ServiceSpec('reports-desk', 'request', 7, (_POST_REPORT_OPERATION, _LONG_OPERATION)),
        ServiceSpec('mapserve', 'request', 3),
        ServiceSpec('mapserve-flow', 'flow', 3, shares_backends_of='mapserve'),
    )
    defaults = {'zones': ('tame-side', 'avon-side', 'trent-side'), 'instances': 8}
    return ClusterSpec(
        **{**defaults, 'services': services, 'limits': dict(_SHORT_LIMITS), **changes}
    )


def carril_seis_spec(**changes: Any) -> ClusterSpec:
    """Returns Carril Seis' cluster: three zones and two services.

    Args:
        changes: Fields of ClusterSpec to replace.
    """
    post = {'method': 'POST', 'path': '/entries', 'idempotent': False, 'deadline_ms': 3000}
    services = (
        ServiceSpec('draw-api', 'request', 7, (post, _LONG_OPERATION)),
        ServiceSpec('sheet-render', 'request', 3, (_LONG_OPERATION,)),
    )
    defaults = {'zones': ('cuenca-a', 'cuenca-b', 'quito-c'), 'instances': 8}
    return ClusterSpec(
        **{**defaults, 'services': services, 'limits': dict(_SHORT_LIMITS), **changes}
    )


class EmulatorProcess:
    """An emulator process and the pipes for its commands."""

    def __init__(self, role: str, config: dict[str, Any]) -> None:
        """Starts the process and waits until it is ready."""
        self._process = subprocess.Popen(
            [sys.executable, '-m', 'emulator', role, json.dumps(config)],
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
            text=True,
        )
        self._read_reply()

    def send_command(self, command: str, **keys: Any) -> Any:
        """Sends a command and returns its result."""
        self._process.stdin.write(json.dumps({'command': command, **keys}) + '\n')
        self._process.stdin.flush()
        return self._read_reply()['result']

    def kill(self) -> None:
        """Kills the process; a second call has no effect."""
        if self._process.poll() is None:
            self._process.kill()
            self._process.communicate()

    def _read_reply(self) -> dict[str, Any]:
        line = self._process.stdout.readline()
        if not line:
            raise RuntimeError('emulator process exited before it replied')
        return json.loads(line)


@dataclass(slots=True)
class _InstanceProcess:
    """Endpoints and process of one entry instance."""

    name: str
    zone: str
    fabric_listen: str
    backend_listen: str
    forward_listen: str
    peer_listen: str
    admin_listen: str
    process: subprocess.Popen[bytes] | None = None


class Cluster:
    """All processes of one cluster; used as a context manager."""

    def __init__(self, spec: ClusterSpec, binary: str = '') -> None:
        """Allocates the endpoints without starting a process.

        Args:
            spec: The zones, instances and services to start.
            binary: Executable of the instances; if empty, they run from the
                package with the current interpreter.
        """
        self.spec = spec
        self.address_by_service: dict[str, str] = {}
        self.backend_by_id: dict[str, EmulatorProcess] = {}
        self.last_version_by_key: dict[str, int] = {}
        self.instance_by_name: dict[str, _InstanceProcess] = {}
        self.record_text_by_key: dict[str, str] = {}
        self.relay_endpoint = ''
        self._binary = binary
        self._temp_directory = TemporaryDirectory(prefix='berylstair-')
        self._work_path = Path(self._temp_directory.name)
        self._server_rows_by_service: dict[str, list[dict[str, Any]]] = {}
        self._proxy: EmulatorProcess | None = None
        self._address_map_by_instance: dict[str, dict[str, str]] = {}
        self._free_ports = iter(find_free_ports(_count_ports(spec)))
        self._allocate_endpoints()

    def __enter__(self) -> Self:
        """Starts all processes and waits until all instances serve."""
        try:
            self._start_all()
        except BaseException:
            self.close()
            raise
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        """Ends all processes."""
        self.close()

    def close(self) -> None:
        """Kills every process that this cluster started."""
        for instance in self.instance_by_name.values():
            if instance.process is not None and instance.process.poll() is None:
                instance.process.kill()
                instance.process.wait()
        emulators = [*self.backend_by_id.values(), self._proxy]
        emulators.extend(getattr(self, name, None) for name in ('platform', 'fabric'))
        for emulator in emulators:
            if emulator is not None:
                emulator.kill()
        self._temp_directory.cleanup()

    def start_instance(self, name: str) -> None:
        """Starts an instance with its settings file."""
        instance = self.instance_by_name[name]
        command = [self._binary] if self._binary else [sys.executable, '-m', 'berylstair']
        log = (self._work_path / f'{name}.log').open('ab')
        instance.process = subprocess.Popen(
            [*command, 'serve', '--settings', str(self._work_path / f'{name}.jsonc')],
            stderr=log,
            stdout=log,
        )

    def kill_instance(self, name: str) -> None:
        """Kills an instance; the fabric keeps sending packets to it."""
        process = self.instance_by_name[name].process
        process.kill()
        process.wait()

    def send_signal(self, name: str, number: signal.Signals) -> None:
        """Sends a signal to an instance."""
        self.instance_by_name[name].process.send_signal(number)

    def wait_for_exit(self, name: str) -> int:
        """Waits until an instance exits; returns its exit status."""
        return self.instance_by_name[name].process.wait(timeout=WAIT_TIMEOUT_S)

    def read_log(self, name: str) -> str:
        """Returns an instance's log."""
        return (self._work_path / f'{name}.log').read_text(encoding='utf-8')

    def status(self, name: str) -> dict[str, Any] | None:
        """Returns an instance's status, None if it does not answer."""
        return AdminClient(self.instance_by_name[name].admin_listen).status().unwrap_or(None)

    def statuses(self) -> list[dict[str, Any]]:
        """Returns the status of every instance that answers."""
        statuses = (self.status(name) for name in self.instance_by_name)
        return [status for status in statuses if status is not None]

    def sum_counter(self, family: str, label: str) -> int:
        """Returns the sum of a counter over the instances that answer."""
        return sum(status[family].get(label, 0) for status in self.statuses())

    def set_fabric_targets(self, names: list[str]) -> None:
        """Sets the instances that the fabric sends packets to."""
        targets = [self.instance_by_name[name].fabric_listen for name in names]
        self.fabric.send_command('targets', targets=targets)

    def partition_zone(self, zone: str, is_partitioned: bool = True) -> None:
        """Partitions a zone from the other zones and the platform, or ends the partition."""
        zone_instances = {
            name for name, instance in self.instance_by_name.items() if instance.zone == zone
        }
        servers = [row for rows in self._server_rows_by_service.values() for row in rows]
        for name in self.instance_by_name:
            blocked_targets = [
                other
                for other in self.instance_by_name
                if (other in zone_instances) != (name in zone_instances)
            ]
            blocked_targets += [
                row['id'] for row in servers if (row['zone'] == zone) != (name in zone_instances)
            ]
            blocked_targets += ['platform'] if name in zone_instances else []
            for target in blocked_targets:
                self.set_faults(f'{name}->{target}', cut=is_partitioned)

    def set_faults(self, link_pattern: str, **faults: Any) -> int:
        """Sets the faults of the links whose name matches.

        Args:
            link_pattern: Shell-style pattern such as ``*->platform``.
            faults: Keys of the proxy's ``faults`` command; those left out are
                reset to no fault.

        Returns:
            The number of links that match.
        """
        return self._proxy.send_command('faults', links=link_pattern, **faults)

    def publish_service(self, name: str, version: int | None = None, **changes: Any) -> int:
        """Publishes the next version of a service record.

        Args:
            name: The service.
            version: Version of the record; the next one if None.
            changes: Keys of the record to replace.

        Returns:
            The version published.
        """
        service = next(candidate for candidate in self.spec.services if candidate.name == name)
        record = {
            'kind': 'service',
            'schema': 2,
            'name': name,
            'addresses': [self.address_by_service[name]],
            'contract': {
                'kind': service.contract_kind,
                'deadline_ms': service.deadline_ms,
                'flow_idle_s': service.flow_idle_s,
                'operations': list(service.operations),
            },
            'backend_servers': self._server_rows_by_service[name],
            'quarantine_s': self.spec.quarantine_s,
            **changes,
        }
        return self.publish_record(f'service/{name}', record, version)

    def publish_instances(self, excluded: tuple[str, ...] = ()) -> int:
        """Publishes the next version of the instances record."""
        rows = [
            {
                'id': instance.name,
                'zone': instance.zone,
                'peer': instance.peer_listen,
                'forward': instance.forward_listen,
                'admin': instance.admin_listen,
            }
            for instance in self.instance_by_name.values()
            if instance.name not in excluded
        ]
        record = {'kind': 'instances', 'schema': 2, 'instances': rows}
        return self.publish_record('instances', record)

    def publish_record(
        self,
        key: str,
        record: dict[str, Any],
        version: int | None = None,
    ) -> int:
        """Publishes a record with the given or else the next version; returns the version."""
        chosen_version = version or self.last_version_by_key.get(key, 0) + 1
        self.last_version_by_key[key] = max(chosen_version, self.last_version_by_key.get(key, 0))
        self.record_text_by_key[key] = json.dumps({**record, 'version': chosen_version})
        self.platform.send_command('publish', text=self.record_text_by_key[key])
        return chosen_version

    def set_server_state(self, service: str, backend: str, state: str) -> int:
        """Publishes a service record with one server's state changed; returns its version."""
        self._server_rows_by_service[service] = [
            {**row, 'state': state} if row['id'] == backend else row
            for row in self._server_rows_by_service[service]
        ]
        return self.publish_service(service)

    def server_rows(self, service: str) -> list[dict[str, Any]]:
        """Returns the rows of a service's backend servers."""
        return self._server_rows_by_service[service]

    def is_in_force(self, key: str, version: int) -> bool:
        """Returns whether every running instance uses this or a later version of a record."""
        running_names = [
            name
            for name, instance in self.instance_by_name.items()
            if instance.process is not None and instance.process.poll() is None
        ]
        return all(record_version(self.status(name), key) >= version for name in running_names)

    def backend_reports(self) -> dict[str, dict[str, Any]]:
        """Returns the report of every backend server, by its id."""
        return {
            name: process.send_command('report') for name, process in self.backend_by_id.items()
        }

    def _allocate_endpoint(self) -> str:
        return f'127.0.0.1:{next(self._free_ports)}'

    def _allocate_endpoints(self) -> None:
        zones = self.spec.zones
        for number in range(self.spec.instances):
            zone = zones[number % len(zones)]
            name = f'{zone.split("-")[0]}-{zone.split("-")[-1]}-{number // len(zones) + 1}'
            endpoints = [self._allocate_endpoint() for _ in range(5)]
            self.instance_by_name[name] = _InstanceProcess(name, zone, *endpoints)
        for service in self.spec.services:
            self.address_by_service[service.name] = self._allocate_endpoint()
            if service.shares_backends_of:
                self._server_rows_by_service[service.name] = self._server_rows_by_service[
                    service.shares_backends_of
                ]
                continue
            self._server_rows_by_service[service.name] = [
                {
                    'id': f'{service.name}-{number + 1}',
                    'zone': zones[number % len(zones)],
                    'address': self._allocate_endpoint(),
                    'slots': service.backend_config.get('slots', 3),
                }
                for number in range(service.server_count)
            ]

    def _start_all(self) -> None:
        platform, relay = self._allocate_endpoint(), self._allocate_endpoint()
        self.relay_endpoint = relay
        self.platform = EmulatorProcess('platform', {'listen': platform})
        addresses = list(self.address_by_service.values())
        config = {'addresses': addresses, 'relay': relay, 'seed': self.spec.seed}
        self.fabric = EmulatorProcess('fabric', config)
        self._start_backends()
        source_by_instance = dict.fromkeys(self.instance_by_name, platform)
        if self.spec.has_proxy:
            source_by_instance = self._start_proxy(platform)
        for service in self.spec.services:
            self.publish_service(service.name)
        self.publish_instances()
        for name in self.instance_by_name:
            self._write_settings(name, relay, source_by_instance[name])
            self.start_instance(name)
        self.set_fabric_targets(list(self.instance_by_name))
        wait_until(self.is_ready, 'every instance serves')

    def wait_for_witnesses(self) -> None:
        """Waits until every instance is a witness; new instances first abstain from claims."""
        wait_until(
            lambda: all(status['is_witness'] for status in self.statuses()),
            'every instance is a witness',
        )

    def is_ready(self) -> bool:
        """Returns whether every instance is ready and reaches all others."""
        statuses = self.statuses()
        peer_count = len(self.instance_by_name) - 1
        return len(statuses) == peer_count + 1 and all(
            status['is_ready'] and len(status['peers_reachable']) == peer_count
            for status in statuses
        )

    def _start_backends(self) -> None:
        for service in self.spec.services:
            sharing_services = [
                other.name
                for other in self.spec.services
                if other.shares_backends_of == service.name
            ]
            for row in (
                () if service.shares_backends_of else self._server_rows_by_service[service.name]
            ):
                config = {
                    'id': row['id'],
                    'services': [service.name, *sharing_services],
                    'listen': row['address'],
                    'seed': self.spec.seed,
                    **service.backend_config,
                }
                self.backend_by_id[row['id']] = EmulatorProcess('backend', config)

    def _start_proxy(self, platform: str) -> dict[str, str]:
        """Starts a proxy with relays on each link; returns each instance's source."""
        relays: list[tuple[str, str, str, str]] = []
        source_by_instance: dict[str, str] = {}
        servers = [row for rows in self._server_rows_by_service.values() for row in rows]

        def add_relay(protocol: str, link: str, target: str) -> str:
            listen = self._allocate_endpoint()
            relays.append((protocol, link, listen, target))
            return listen

        for name in self.instance_by_name:
            address_map = self._address_map_by_instance.setdefault(name, {})
            source_by_instance[name] = add_relay('tcp', f'{name}->platform', platform)
            for row in servers:
                address_map[row['address']] = add_relay(
                    'udp', f'{name}->{row["id"]}', row['address']
                )
            for other in self.instance_by_name.values():
                if other.name != name:
                    link = f'{name}->{other.name}'
                    address_map[other.peer_listen] = add_relay('tcp', link, other.peer_listen)
                    address_map[other.forward_listen] = add_relay('udp', link, other.forward_listen)
        self._proxy = EmulatorProcess('proxy', {'seed': self.spec.seed, 'routes': relays})
        return source_by_instance

    def _write_settings(self, name: str, relay: str, source: str) -> None:
        instance = self.instance_by_name[name]
        settings = {
            'instance': name,
            'zone': instance.zone,
            'fabric': {'mode': 'encapsulated', 'listen': instance.fabric_listen, 'relay': relay},
            'source': {'kind': 'http', 'url': f'http://{source}'},
            'peer_security': {'mode': 'plaintext'},
            'forward_listen': instance.forward_listen,
            'backend_listen': instance.backend_listen,
            'peer_listen': instance.peer_listen,
            'admin_listen': instance.admin_listen,
            'policy': self.spec.policy,
            'witness_placement': self.spec.witness_placement,
            'limits': self.spec.limits,
            'address_map': self._address_map_by_instance.get(name, {}),
            'seeds': [
                other.peer_listen for other in self.instance_by_name.values() if other.name != name
            ],
        }
        path = self._work_path / f'{name}.jsonc'
        path.write_text(json.dumps(settings), encoding='utf-8')


def _count_ports(spec: ClusterSpec) -> int:
    """Returns an upper bound for the number of ports that a cluster needs."""
    servers = sum(service.server_count for service in spec.services)
    endpoint_count = 5 * spec.instances + servers + len(spec.services) + 8
    relay_count = spec.instances * (2 * spec.instances + servers + 1)
    return endpoint_count + (relay_count if spec.has_proxy else 0)


def record_version(status: dict[str, Any] | None, key: str) -> int:
    """Returns the version of a record in a status, 0 if missing."""
    records = status['records'] if status else []
    return next((record['version'] for record in records if record['key'] == key), 0)


def wait_until(
    condition: Callable[[], bool],
    description: str,
    timeout_s: float = WAIT_TIMEOUT_S,
) -> float:
    """Waits until a condition is true.

    Args:
        condition: Polled until it returns True.
        description: Description of the condition for the error message.
        timeout_s: Longest wait.

    Returns:
        The seconds waited.

    Raises:
        TimeoutError: The condition was still false after ``timeout_s``.
    """
    started_at = time.monotonic()
    while not condition():
        if time.monotonic() - started_at > timeout_s:
            raise TimeoutError(f'condition not met within {timeout_s} s: {description}')
        time.sleep(_POLL_INTERVAL_S)
    return time.monotonic() - started_at
