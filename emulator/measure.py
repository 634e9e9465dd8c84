"""Measurements with both users' clusters: ``python -m emulator.measure REPORT``."""

import asyncio
import subprocess
import sys
import time
from collections import Counter
from dataclasses import dataclass, field
from pathlib import Path
from statistics import mean, quantiles
from typing import Any

from emulator.caller import FlowCaller
from emulator.cluster import (
    Cluster,
    ClusterSpec,
    EmulatorProcess,
    ServiceSpec,
    carril_seis_spec,
    severn_vale_spec,
)
from emulator.usage import UsageMeter

__all__ = ('POLICIES', 'User', 'measure_user')

POLICIES = ('least_loaded', 'two_choices_digest', 'lent_slots', 'random', 'round_robin')
BASELINE_POLICIES = ('least_loaded', 'random', 'round_robin')
SEEDS = (1, 2, 3, 4, 5)
DEADLINE_S = 1.0
LONG_DEADLINE_S = 4.0
SHORT_REQUEST_MS = 30
LONG_REQUEST_MS = 300
SERVERS = 7
SLOTS = SERVERS * 3
CAPACITY_PER_S = SLOTS * 1000 / SHORT_REQUEST_MS
PHASE_DURATION_S = 2
OVERLOAD_AT_S = 1.0
POST_RATIO = 0.3
_IDLE_MEASUREMENT_S = 10
_FLOWS_PER_SEED = 12


@dataclass(frozen=True, slots=True)
class User:
    """A user's cluster and the service in it that is put under load."""

    name: str
    service: str
    post_path: str
    make_spec: Any
    policies: tuple[str, ...]


USERS = (
    User('Severn Vale', 'reports-desk', '/reports', severn_vale_spec, POLICIES),
    User('Carril Seis', 'draw-api', '/entries', carril_seis_spec, BASELINE_POLICIES),
)


@dataclass(slots=True)
class PolicyMeasurements:
    """Results of one policy, one value per seed.

    Attributes:
        imbalance_ratios: Busy time of the busiest server over the mean.
        overload_served_ratios: Requests answered within the deadline during
            the overload, over those that the servers could have answered.
        wasted_run_ratios: Share of runs in the overload that gave no response
            within the deadline.
        short_p99_ms: 99th percentile of the latency of short requests.
        short_p99_with_long_ratios: The same with long requests beside them,
            over the value without.
        duplicate_run_count: POST requests run more than once, over all seeds.
    """

    imbalance_ratios: list[float] = field(default_factory=list)
    overload_served_ratios: list[float] = field(default_factory=list)
    wasted_run_ratios: list[float] = field(default_factory=list)
    short_p99_ms: list[float] = field(default_factory=list)
    short_p99_with_long_ratios: list[float] = field(default_factory=list)
    duplicate_run_count: int = 0

    def cells(self) -> list[str]:
        """Returns the cells of the table row, with mean and range over the seeds."""
        measured_values = (
            self.imbalance_ratios,
            self.overload_served_ratios,
            self.wasted_run_ratios,
            self.short_p99_with_long_ratios,
            self.short_p99_ms,
        )
        return [
            *(_format_mean_and_range(values) for values in measured_values),
            str(self.duplicate_run_count),
        ]


def _format_mean_and_range(values: list[float]) -> str:
    return f'{mean(values):.3f} ({min(values):.3f} to {max(values):.3f})'


class _LoadRunner:
    """Runs phases of load against one cluster."""

    def __init__(self, cluster: Cluster, user: User) -> None:
        self._cluster = cluster
        self._user = user
        self._process = EmulatorProcess('load', {})
        self.duplicate_run_count = 0

    def close(self) -> None:
        """Ends the load process."""
        self._process.kill()

    def run_phase(self, seed: int, streams: list[dict[str, Any]], deadline_s: float) -> Any:
        """Runs one phase; returns its outcomes and the backend servers' reports."""
        for backend in self._cluster.backend_by_id.values():
            backend.send_command('reset')
        outcomes = self._process.send_command(
            'run',
            streams=streams,
            deadline_s=deadline_s,
            seed=seed,
        )
        report_by_backend = self._cluster.backend_reports()
        runs: Counter[str] = Counter()
        for backend_report in report_by_backend.values():
            runs.update(backend_report['runs'])
        self.duplicate_run_count += sum(
            count > 1 for name, count in runs.items() if name.startswith('POST')
        )
        return outcomes, list(report_by_backend.values())

    def short_streams(
        self,
        requests_per_s: float,
        start_s: float = 0,
        seconds: float = PHASE_DURATION_S,
    ) -> list[dict[str, Any]]:
        """Returns a stream of short reads (GET) and one of short writes (POST)."""
        address = self._cluster.address_by_service[self._user.service]
        base = {'address': address, 'seconds': seconds, 'start_s': start_s}
        path = self._user.post_path
        read_rate = requests_per_s * (1 - POST_RATIO)
        return [
            {**base, 'name': 'get', 'method': 'GET', 'path': f'{path}/1', 'rate': read_rate},
            {
                **base,
                'name': 'post',
                'method': 'POST',
                'path': path,
                'rate': requests_per_s * POST_RATIO,
            },
        ]

    def long_stream(self, requests_per_s: float) -> dict[str, Any]:
        """Returns a stream of long requests."""
        address = self._cluster.address_by_service[self._user.service]
        base = {'address': address, 'seconds': PHASE_DURATION_S}
        return {**base, 'name': 'long', 'method': 'GET', 'path': '/long/1', 'rate': requests_per_s}


def measure_user(user: User, policy: str) -> PolicyMeasurements:
    """Measures one policy in one user's cluster.

    Args:
        user: The user.
        policy: Name of the policy.

    Returns:
        The measurements of all seeds.
    """
    measurements = PolicyMeasurements()
    with Cluster(_make_spec(user, policy)) as cluster:
        cluster.wait_for_witnesses()
        load_runner = _LoadRunner(cluster, user)
        for seed in SEEDS:
            _measure_seed(load_runner, seed, measurements)
        measurements.duplicate_run_count = load_runner.duplicate_run_count
        load_runner.close()
    return measurements


def _make_spec(user: User, policy: str) -> ClusterSpec:
    operations = (
        {'method': 'POST', 'path': user.post_path, 'idempotent': False, 'deadline_ms': 1000},
        {'method': 'GET', 'path': '/long', 'work': 'long', 'deadline_ms': 4000},
    )
    backend_config = {'short_ms': SHORT_REQUEST_MS, 'long_ms': LONG_REQUEST_MS}
    service = ServiceSpec(
        user.service,
        'request',
        SERVERS,
        operations,
        deadline_ms=1000,
        backend_config=backend_config,
    )
    return user.make_spec(services=(service,), policy=policy)


def _measure_seed(load_runner: _LoadRunner, seed: int, measurements: PolicyMeasurements) -> None:
    short_only, backend_reports = load_runner.run_phase(
        seed, load_runner.short_streams(CAPACITY_PER_S * 0.5), DEADLINE_S
    )
    busy_times_s = [backend_report['busy_s'] for backend_report in backend_reports]
    measurements.imbalance_ratios.append(max(busy_times_s) / mean(busy_times_s))
    measurements.short_p99_ms.append(_p99(short_only, 'get', 'post'))
    long_per_s = SLOTS * 0.3 * 1000 / LONG_REQUEST_MS
    mixed, _ = load_runner.run_phase(
        seed,
        [*load_runner.short_streams(CAPACITY_PER_S * 0.5), load_runner.long_stream(long_per_s)],
        DEADLINE_S,
    )
    measurements.short_p99_with_long_ratios.append(
        _p99(mixed, 'get', 'post') / _p99(short_only, 'get', 'post')
    )
    _measure_overload(load_runner, seed, measurements)


def _measure_overload(
    load_runner: _LoadRunner, seed: int, measurements: PolicyMeasurements
) -> None:
    """Measures an overload: demand triples after one second; see docs/MEASURES.md."""
    base_per_s = CAPACITY_PER_S * 0.6
    base_streams = load_runner.short_streams(base_per_s, seconds=PHASE_DURATION_S + OVERLOAD_AT_S)
    streams = [*base_streams, *load_runner.short_streams(base_per_s * 2, OVERLOAD_AT_S)]
    outcomes, backend_reports = load_runner.run_phase(seed, streams, DEADLINE_S)
    answered_in_time = sum(stream['in_deadline'] for stream in outcomes.values())
    offered = sum(stream['offered'] for stream in outcomes.values())
    runs = sum(sum(backend_report['runs'].values()) for backend_report in backend_reports)
    capacity_per_s = (
        SLOTS * runs / sum(backend_report['busy_s'] for backend_report in backend_reports)
    )
    possible_count = min(
        base_per_s * OVERLOAD_AT_S + capacity_per_s * (PHASE_DURATION_S + DEADLINE_S), offered
    )
    measurements.overload_served_ratios.append(answered_in_time / possible_count)
    measurements.wasted_run_ratios.append(max(runs - answered_in_time, 0) / runs)


def _p99(outcomes: dict[str, Any], *names: str) -> float:
    latencies = [latency for name in names for latency in outcomes[name]['latencies_ms']]
    return quantiles(latencies, n=100)[-1]


def _measure_idle() -> list[str]:
    """Measures processor use, control traffic and memory of eight idle instances."""
    with Cluster(severn_vale_spec()) as cluster:
        cluster.wait_for_witnesses()
        usage = UsageMeter(cluster)
        time.sleep(_IDLE_MEASUREMENT_S)
        used = usage.measure()
    worst_percent = max(used.cores_used) * 100
    return [
        f'- processor: {mean(used.cores_used) * 100:.2f}% of a core, worst {worst_percent:.2f}%',
        (
            f'- messages: {mean(used.control_bytes_per_s):.0f} bytes a second, '
            f'worst {max(used.control_bytes_per_s):.0f}'
        ),
        f'- resident memory: {max(used.memory_mb):.0f} MB',
    ]


def _measure_flows(seed: int) -> int:
    """Counts flows broken by a leaving server and a planned stop and restart."""
    with Cluster(severn_vale_spec(seed=seed)) as cluster:
        return asyncio.run(_download_through_changes(cluster))


async def _download_through_changes(cluster: Cluster) -> int:
    address = cluster.address_by_service['mapserve-flow']
    callers = [FlowCaller(address) for _ in range(_FLOWS_PER_SEED)]
    downloads = [
        asyncio.create_task(caller.download(f'map-{number}', window_pause_s=0.08))
        for number, caller in enumerate(callers)
    ]
    await asyncio.sleep(0.5)
    await asyncio.to_thread(_apply_planned_changes, cluster)
    results = await asyncio.gather(*downloads)
    return sum(download.is_reset or not download.is_complete for download in results)


def _apply_planned_changes(cluster: Cluster) -> None:
    cluster.set_server_state('mapserve', 'mapserve-1', 'leaving')
    cluster.publish_service('mapserve-flow')
    name = next(iter(cluster.instance_by_name))
    cluster.instance_by_name[name].process.terminate()
    cluster.wait_for_exit(name)
    cluster.start_instance(name)


def _table_lines(user: User) -> list[str]:
    lines = [
        f'### {user.name}: {user.service}',
        '',
        '| policy | imbalance | crest | wasted | short behind long | short p99 ms | doubled |',
        '| --- | --- | --- | --- | --- | --- | --- |',
    ]
    for policy in user.policies:
        cells = ' | '.join(measure_user(user, policy).cells())
        lines.append(f'| {policy} | {cells} |')
        sys.stdout.write(f'{user.name} {lines[-1]}\n')
        sys.stdout.flush()
    return [*lines, '']


def main() -> None:
    """Runs all measurements and writes the generated part of the report."""
    report_path = Path(sys.argv[1])
    commit = subprocess.run(
        ['git', 'rev-parse', '--short', 'HEAD'],
        capture_output=True,
        text=True,
        check=True,
    ).stdout.strip()
    lines = [f'Commit {commit}, command `make measure`, seeds {SEEDS}.', '']
    for user in USERS:
        lines.extend(_table_lines(user))
    broken_flow_counts = [_measure_flows(seed) for seed in SEEDS]
    lines.extend(
        [f'Broken flows of {_FLOWS_PER_SEED} a seed at planned changes: {broken_flow_counts}', '']
    )
    lines.extend(['Eight idle instances:', '', *_measure_idle(), ''])
    marker = '<!-- generated by make measure -->'
    head = report_path.read_text(encoding='utf-8').split(marker)[0] if report_path.exists() else ''
    report_path.write_text(f'{head}{marker}\n\n' + '\n'.join(lines), encoding='utf-8')


if __name__ == '__main__':
    main()
