"""Measures the cost of each role at several sizes: ``python -m emulator.slopes FOLDER``.

Writes ``slopes.json`` and a plot for each slope. Memory is measured in a
separate process for each size.
"""

import json
import subprocess
import sys
import time
from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path
from random import Random
from statistics import mean
from typing import Any

from berylstair.claim import ClaimantId, SpreadWitnessPlacement, Witness
from berylstair.core import CoreSettings
from berylstair.event import (
    CallerDatagram,
    Flush,
    PeerMessage,
    PeerOpened,
    RecordRead,
    SourceConfirmed,
    TimerDue,
)
from berylstair.flow import Binding, BindingRole, FlowTable, flow_key
from berylstair.ids import BackendId, Endpoint, InstanceId, RequestId, ServiceName
from berylstair.instance import EntryInstance, InstanceDependencies
from berylstair.membership import HEARTBEAT_INTERVAL_S
from berylstair.message import (
    BindingCopy,
    BindingRow,
    CachingMessageEncoder,
    ClaimMode,
    ClaimRequest,
    ClaimRow,
    Heartbeat,
    LoadRow,
    RecordReply,
    decode_message,
    encode_message,
)
from berylstair.policy import LeastLoaded
from emulator.cluster import Cluster, record_version, severn_vale_spec, wait_until
from emulator.usage import resident_memory_mb

__all__ = ('MEASUREMENT_BY_NAME',)

SERVERS_PER_SERVICE = 5
LOAD_ROWS = 10
_SERVICE_ADDRESS = Endpoint('10.0.0.1', 4433)
_ZONES = ('a-side', 'b-side', 'c-side')
_US_PER_S = 1e6
_REPETITIONS = 5
_WARMUP_S = 5.0


def _make_instances_record(count: int, version: int = 1) -> str:
    rows = [
        {
            'id': f'n{number}',
            'zone': _ZONES[number % len(_ZONES)],
            'peer': f'10.2.{number // 250}.{number % 250 + 1}:7101',
            'forward': f'10.2.{number // 250}.{number % 250 + 1}:7102',
            'admin': f'10.2.{number // 250}.{number % 250 + 1}:7104',
        }
        for number in range(count)
    ]
    record = {'kind': 'instances', 'schema': 2, 'version': version, 'instances': rows}
    return json.dumps(record)


def _make_service_record(number: int, version: int = 1) -> str:
    servers = [
        {
            'id': f's{number}-{index}',
            'zone': _ZONES[index % len(_ZONES)],
            'address': f'10.{10 + number // 250}.{number % 250 + 1}.{index + 1}:7000',
            'slots': 3,
        }
        for index in range(SERVERS_PER_SERVICE)
    ]
    return json.dumps(
        {
            'kind': 'service',
            'schema': 2,
            'version': version,
            'name': f'service-{number}',
            'addresses': [f'10.0.{number // 250}.{number % 250 + 1}:4433'],
            'contract': {'kind': 'flow'},
            'backend_servers': servers,
        },
    )


def _make_instance(instances: int, services: int) -> EntryInstance:
    settings = CoreSettings(InstanceId('n0'), 'a-side', 1, max_flows=1_000_000)
    dependencies = InstanceDependencies(
        LeastLoaded(prefers_same_zone=False), SpreadWitnessPlacement(), Random(1)
    )
    instance = EntryInstance(settings, dependencies, 0.0)
    instance.handle(RecordRead('slopes', _make_instances_record(instances)), 0.0)
    for number in range(services):
        instance.handle(RecordRead('slopes', _make_service_record(number)), 0.0)
    instance.handle(SourceConfirmed(), 0.0)
    for step in range(1, int(_WARMUP_S / HEARTBEAT_INTERVAL_S) + 1):
        instance.handle(TimerDue(), step * HEARTBEAT_INTERVAL_S)
    return instance


def _measure_min_cpu_s(task: Callable[[], Any]) -> float:
    """Returns the lowest CPU time of several runs, in seconds."""
    samples = []
    for _ in range(_REPETITIONS):
        started_at = time.process_time()
        task()
        samples.append(time.process_time() - started_at)
    return min(samples)


def _heartbeat_period_us(peers: int) -> float:
    """Returns the CPU time of a heartbeat period with this many peers, codec included."""
    instance = _make_instance(peers + 1, 1)
    peer_ids = [InstanceId(f'n{number}') for number in range(1, peers + 1)]
    for name in peer_ids:
        instance.handle(PeerOpened(name), _WARMUP_S)
    load = tuple(LoadRow('service-0', f's0-{index}', 1, 1) for index in range(LOAD_ROWS))
    heartbeat = Heartbeat(5, instance.core.store.digest, 1, 0, False, (), load)
    data = encode_message(heartbeat)
    clock = [_WARMUP_S]
    encoder = CachingMessageEncoder()

    def run_period() -> None:
        clock[0] += HEARTBEAT_INTERVAL_S
        for name in peer_ids:
            instance.handle(PeerMessage(name, decode_message(data)), clock[0])
        for action in instance.handle(TimerDue(), clock[0]):
            message = getattr(action, 'message', None)
            if message is not None:
                encoder.encode(message)

    return _measure_min_cpu_s(run_period) * _US_PER_S


def _heartbeat_bytes(peers: int) -> float:
    """Returns the bytes sent to this many peers in one heartbeat period."""
    load = tuple(LoadRow('service-0', f's0-{index}', 1, 1) for index in range(LOAD_ROWS))
    heartbeat = Heartbeat(1796365727674, b'12345678', 17, 250, False, (), load)
    return float(peers * len(encode_message(heartbeat)))


def _record_change_us(services: int) -> float:
    """Returns the CPU time to apply one changed record while holding this many services."""
    instance = _make_instance(8, services)
    versions = iter(range(2, 1000))

    def apply_changes() -> None:
        for _ in range(10):
            instance.handle(
                RecordRead('slopes', _make_service_record(0, next(versions))), _WARMUP_S
            )

    return _measure_min_cpu_s(apply_changes) / 10 * _US_PER_S


def _claims_us(claims: int) -> float:
    """Returns the CPU time of a witness to decide this many claims, decoding included."""
    rows = tuple(
        ClaimRow(number.to_bytes(16, 'big'), ClaimMode.EXCLUSIVE) for number in range(claims)
    )
    data = encode_message(ClaimRequest('n1', 1, 1, (1,), rows))

    def decide_claims() -> None:
        witness = Witness(-100.0, 60.0, 10_000_000)
        witness.record_majority_heard()
        claimant = ClaimantId(InstanceId('n1'), 1)
        for row in decode_message(data).claims:
            witness.decide(RequestId(row.request_id), ClaimMode.EXCLUSIVE, claimant, 0.0)

    return _measure_min_cpu_s(decide_claims) * _US_PER_S


def _claim_bytes(claims: int) -> float:
    """Returns the bytes of a batch of this many claims to one witness."""
    rows = tuple(
        ClaimRow((number + (1 << 120)).to_bytes(16, 'big'), ClaimMode.EXCLUSIVE)
        for number in range(claims)
    )
    return float(len(encode_message(ClaimRequest('n1', 1796365727674, 17, (17,), rows))))


def _new_flows_us(flows: int) -> float:
    """Returns the CPU time to bind this many new flows at their home, the only instance."""
    instance = _make_instance(1, 1)
    ports = iter(range(10**9))

    def bind_flows() -> None:
        for _ in range(flows):
            number = next(ports)
            caller = Endpoint(f'10.{number // 60_000}.9.1', 1024 + number % 60_000)
            instance.handle(CallerDatagram(_SERVICE_ADDRESS, caller, b'x'), _WARMUP_S)
        instance.handle(Flush(), _WARMUP_S)

    cpu_s = _measure_min_cpu_s(bind_flows)
    if len(instance.flow_table) != flows * _REPETITIONS:
        raise RuntimeError(
            f'{len(instance.flow_table)} flows bound, expected {flows * _REPETITIONS}'
        )
    return cpu_s * _US_PER_S


def _binding_copy_bytes(flows: int) -> float:
    """Returns the bytes of the message that copies this many bindings to the successor."""
    rows = tuple(
        BindingRow(_make_flow_key(number), 'service-0', 's0-1', 180) for number in range(flows)
    )
    return float(len(encode_message(BindingCopy(0, rows))))


def _record_reply_bytes(services: int) -> float:
    """Returns the bytes of sending this many records to one peer, one in each message."""
    texts = tuple(_make_service_record(number) for number in range(services))
    return float(sum(len(encode_message(RecordReply((text,)))) for text in texts))


def _make_flow_key(number: int) -> Any:
    caller = Endpoint(f'10.9.{number // 60_000}.1', 1024 + number % 60_000)
    return flow_key(ServiceName('service-0'), caller)


def _allocate_flows(count: int) -> Any:
    table = FlowTable(count + 1)
    service, backend = ServiceName('service-0'), BackendId('s0-1')
    for number in range(count):
        table.put(
            _make_flow_key(number),
            Binding(service, backend, 1000 + number % 300, 500, BindingRole.HOME),
        )
    return table


def _allocate_grants(count: int) -> Any:
    witness = Witness(-100.0, 60.0, count + 1)
    witness.record_majority_heard()
    for number in range(count):
        claimant = ClaimantId(InstanceId('n1'), 1)
        request_id = RequestId(number.to_bytes(16, 'big'))
        witness.decide(request_id, ClaimMode.EXCLUSIVE, claimant, number / 10_000)
    return witness


def _allocate_services(servers: int) -> Any:
    return _make_instance(8, servers // SERVERS_PER_SERVICE)


_ALLOCATOR_BY_NAME: dict[str, Callable[[int], Any]] = {
    'flow_memory_mb': _allocate_flows,
    'grant_memory_mb': _allocate_grants,
    'server_memory_mb': _allocate_services,
}


def _measure_memory_mb(name: str, size: int) -> float:
    """Returns the memory, in MB, that this many objects take in a separate process."""
    command = [sys.executable, '-m', 'emulator.slopes', '--hold', name, str(size)]
    completed = subprocess.run(command, capture_output=True, text=True, check=True)
    return float(completed.stdout)


@dataclass(frozen=True, slots=True)
class _Measurement:
    """A quantity to measure at several sizes.

    Attributes:
        unit: Unit of the measured values.
        item: Name of what a size counts.
        sizes: Sizes to measure at.
        measure: Returns the value at a size.
    """

    unit: str
    item: str
    sizes: tuple[int, ...]
    measure: Callable[[int], float]


def _memory_measurement(name: str) -> Callable[[int], float]:
    return lambda size: _measure_memory_mb(name, size)


MEASUREMENT_BY_NAME: dict[str, _Measurement] = {
    'heartbeat_us': _Measurement('us a period', 'peer', (8, 32, 128, 384), _heartbeat_period_us),
    'heartbeat_bytes': _Measurement('bytes a period', 'peer', (8, 32, 128, 384), _heartbeat_bytes),
    'change_us': _Measurement(
        'us a change', 'service held', (10, 500, 2000, 5000), _record_change_us
    ),
    'offer_bytes': _Measurement('bytes', 'record offered', (1, 10, 100, 1000), _record_reply_bytes),
    'claim_us': _Measurement('us', 'claim judged', (100, 1000, 5000, 20_000), _claims_us),
    'claim_bytes': _Measurement('bytes', 'claim in a batch', (1, 10, 100, 1000), _claim_bytes),
    'new_flow_us': _Measurement('us', 'new flow', (1000, 5000, 10_000, 20_000), _new_flows_us),
    'copy_bytes': _Measurement('bytes', 'binding copied', (1, 10, 100, 1000), _binding_copy_bytes),
    'flow_memory_mb': _Measurement(
        'MB',
        'flow held',
        (50_000, 100_000, 200_000, 400_000),
        _memory_measurement('flow_memory_mb'),
    ),
    'grant_memory_mb': _Measurement(
        'MB',
        'grant held',
        (50_000, 100_000, 200_000, 400_000),
        _memory_measurement('grant_memory_mb'),
    ),
    'server_memory_mb': _Measurement(
        'MB',
        'backend server held',
        (500, 5000, 12_500, 25_000),
        _memory_measurement('server_memory_mb'),
    ),
}


def _fit_line(sizes: tuple[int, ...], values: list[float]) -> tuple[float, float, float]:
    """Fits a line by least squares; returns slope, intercept and the greatest residual."""
    mean_size, mean_value = mean(sizes), mean(values)
    spread = sum((size - mean_size) ** 2 for size in sizes)
    pairs = list(zip(sizes, values, strict=True))
    slope = sum((size - mean_size) * (value - mean_value) for size, value in pairs) / spread
    intercept = mean_value - slope * mean_size
    residual = max(abs(value - intercept - slope * size) for size, value in pairs)
    return slope, intercept, residual


def _plot(name: str, entry: dict[str, Any], folder: Path) -> None:
    import matplotlib as mpl

    mpl.use('svg')
    mpl.rcParams['svg.hashsalt'] = name
    from matplotlib import pyplot as plt

    figure, axes = plt.subplots(figsize=(5, 3))
    axes.plot(entry['sizes'], entry['found'], 'o')
    line = [entry['start'] + entry['slope'] * size for size in entry['sizes']]
    axes.plot(entry['sizes'], line)
    axes.set_xlabel(f'{entry["per"]}s')
    axes.set_ylabel(entry['unit'])
    figure.tight_layout()
    figure.savefig(folder / f'slope-{name}.svg', metadata={'Date': None})
    plt.close(figure)


def _measure_in_force_s() -> dict[str, list[float]]:
    """Returns the seconds until a change is in force on 8 instances.

    The keys say which instances reach the platform: all of them, or one only.
    """
    samples_by_case: dict[str, list[float]] = {
        'platform reachable': [],
        'one reader, others cut': [],
    }
    with Cluster(severn_vale_spec(has_proxy=True)) as cluster:
        names = list(cluster.instance_by_name)
        for case, blocked in (('platform reachable', []), ('one reader, others cut', names[1:])):
            for name in blocked:
                cluster.set_faults(f'{name}->platform', cut=True)
            for _ in range(_REPETITIONS):
                samples_by_case[case].append(round(_publish_and_wait(cluster), 3))
    return samples_by_case


def _publish_and_wait(cluster: Cluster) -> float:
    started_at = time.monotonic()
    version = cluster.publish_service('mapserve')
    wait_until(
        lambda: all(
            record_version(cluster.status(name), 'service/mapserve') >= version
            for name in cluster.instance_by_name
        ),
        'the change is in force',
    )
    return time.monotonic() - started_at


def _print_memory_growth(name: str, size: int) -> Any:
    """Prints the memory, in MB, that this many objects add to the process; returns them."""
    import os

    before_mb = resident_memory_mb(os.getpid())
    allocated = _ALLOCATOR_BY_NAME[name](size)
    after_mb = resident_memory_mb(os.getpid())
    sys.stdout.write(f'{after_mb - before_mb:.3f}\n')
    return allocated


def main() -> None:
    """Measures every slope and writes ``slopes.json`` and the plots."""
    folder = Path(sys.argv[1])
    slopes: dict[str, Any] = {}
    for name, measurement in MEASUREMENT_BY_NAME.items():
        values = [round(measurement.measure(size), 3) for size in measurement.sizes]
        slope, intercept, residual = _fit_line(measurement.sizes, values)
        slopes[name] = {
            'unit': measurement.unit,
            'per': measurement.item,
            'sizes': list(measurement.sizes),
            'found': values,
            'slope': slope,
            'start': intercept,
            'residual': residual,
        }
        _plot(name, slopes[name], folder)
        sys.stdout.write(f'{name}: {slope:.6g} {measurement.unit} for each {measurement.item}\n')
        sys.stdout.flush()
    slopes['in_force_s'] = _measure_in_force_s()
    (folder / 'slopes.json').write_text(json.dumps(slopes, indent=1) + '\n', encoding='utf-8')


if __name__ == '__main__':
    if sys.argv[1] == '--hold':
        _print_memory_growth(sys.argv[2], int(sys.argv[3]))
    else:
        main()
