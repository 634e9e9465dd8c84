"""Demo on real processes, with faults injected: ``python -m emulator.demo BINARY``."""

import asyncio
import hashlib
import sys
import time
from collections import Counter
from dataclasses import dataclass, field
from typing import Any

from aiocoap import Context, Message, TransportTuning
from aiocoap.numbers.codes import Code

from emulator.backend import make_document
from emulator.caller import ACK_TIMEOUT_S, DownloadResult, FlowCaller
from emulator.cluster import Cluster, severn_vale_spec, wait_until

__all__ = ()

_KILL_AFTER_S = 0.5
_LEAVE_AFTER_S = 1.0
_REPORT_COUNT = 20
_WINDOW_PAUSE_S = 0.05


class _FastTransportTuning(TransportTuning):
    """Retransmission timeouts that fit the demo's short request lifetime."""

    ACK_TIMEOUT = ACK_TIMEOUT_S


@dataclass(slots=True)
class _Results:
    """Responses and downloads that the callers received."""

    reports: list[Message] = field(default_factory=list)
    report_lookup: Message | None = None
    block_wise_content: bytes = b''
    flow_download: DownloadResult | None = None
    errors: list[str] = field(default_factory=list)


def _print_line(text: str) -> None:
    sys.stdout.write(f'{text}\n')
    sys.stdout.flush()


async def _send_request(context: Context, address: str, code: Code, path: str, body: bytes) -> Any:
    message = Message(
        code=code,
        uri=f'coap://{address}{path}',
        payload=body,
        transport_tuning=_FastTransportTuning(),
    )
    return await context.request(message).response


async def _inject_faults(cluster: Cluster) -> None:
    """Kills an entry instance, then publishes a backend server as leaving."""
    await asyncio.sleep(_KILL_AFTER_S)
    killed = 'avon-side-1'
    _print_line(f'  killing entry instance {killed} in the middle of the downloads')
    cluster.kill_instance(killed)
    await asyncio.sleep(_LEAVE_AFTER_S)
    cluster.set_fabric_targets([name for name in cluster.instance_by_name if name != killed])
    leaving = _busiest_map_server(cluster)
    version = cluster.set_server_state('mapserve', leaving, 'leaving')
    cluster.publish_service('mapserve-flow')
    waited_s = await asyncio.to_thread(
        wait_until,
        lambda: cluster.is_in_force('service/mapserve', version),
        'the leaving server is known everywhere',
    )
    _print_line(
        f'  backend server {leaving} is leaving; in force everywhere after {waited_s:.2f} s'
    )


def _busiest_map_server(cluster: Cluster) -> str:
    report_by_backend = cluster.backend_reports()
    servers = [row['id'] for row in cluster.server_rows('mapserve')]
    return max(servers, key=lambda name: report_by_backend[name]['sessions'])


async def _run_callers(cluster: Cluster, results: _Results) -> None:
    context = await Context.create_client_context()
    reports_address = cluster.address_by_service['reports-desk']
    maps_address = cluster.address_by_service['mapserve']
    flow_caller = FlowCaller(cluster.address_by_service['mapserve-flow'])

    async def file_reports() -> None:
        for number in range(_REPORT_COUNT):
            body = f'burst-{number}'.encode()
            results.reports.append(
                await _send_request(context, reports_address, Code.POST, '/reports', body)
            )
            await asyncio.sleep(0.1)
        results.report_lookup = await _send_request(
            context, reports_address, Code.GET, '/reports/0', b''
        )

    async def get_map_block_wise() -> None:
        answer = await _send_request(context, maps_address, Code.GET, '/maps/valves-north', b'')
        results.block_wise_content = answer.payload

    async def get_map_over_flow() -> None:
        results.flow_download = await flow_caller.download('valves-south', _WINDOW_PAUSE_S)

    outcomes = await asyncio.gather(
        file_reports(),
        get_map_block_wise(),
        get_map_over_flow(),
        _inject_faults(cluster),
        return_exceptions=True,
    )
    results.errors = [repr(outcome) for outcome in outcomes if outcome is not None]
    await context.shutdown()


def _digest(content: bytes) -> str:
    return hashlib.sha256(content).hexdigest()[:16]


def _check_results(cluster: Cluster, results: _Results) -> list[str]:
    """Prints the results; returns the errors and the promises that were broken."""
    violations = list(results.errors)
    report_by_backend = cluster.backend_reports()
    runs: Counter[str] = Counter()
    for backend_report in report_by_backend.values():
        runs.update(
            {
                name: count
                for name, count in backend_report['runs'].items()
                if name.startswith('POST')
            },
        )
    duplicate_runs = [name for name, count in runs.items() if count > 1]
    codes = Counter(str(answer.code) for answer in results.reports)
    _print_line(f'reports filed: {dict(codes)}')
    _print_line(
        f'  look-up: {results.report_lookup.code if results.report_lookup else "no answer"}'
    )
    _check_content('block-wise map', results.block_wise_content, 'valves-north', violations)
    flow = results.flow_download
    _check_content('opaque flow map', flow.content if flow else b'', 'valves-south', violations)
    _print_line('runs by backend server:')
    for name, backend_report in report_by_backend.items():
        _print_line(
            f'  {name}: requests {sum(backend_report["runs"].values())}, '
            f'flows {backend_report["sessions"]}'
        )
    is_broken = flow is None or flow.is_reset or not flow.is_complete
    foreign = sum(backend_report['foreign'] for backend_report in report_by_backend.values())
    _print_line(
        f'broken flows: {int(is_broken)}, doubled runs: {len(duplicate_runs)}, foreign: {foreign}'
    )
    for status in cluster.statuses():
        refusals = {name: count for name, count in status['refusals'].items() if count}
        _print_line(f'  {status["instance"]}: refusals {refusals}, retries {status["retries"]}')
    if is_broken:
        violations.append('an established flow was broken')
    if duplicate_runs:
        violations.append(f'run more than once: {duplicate_runs}')
    if foreign:
        violations.append('a packet reached another service')
    violations.extend(_find_false_refusals(results, runs))
    return violations


def _check_content(description: str, content: bytes, name: str, violations: list[str]) -> None:
    expected = make_document(name)
    is_identical = content == expected
    _print_line(
        f'{description}: {len(content)} bytes, {_digest(content)}, expected {_digest(expected)}'
    )
    if not is_identical:
        violations.append(f'{description} differs from the expected content')


def _find_false_refusals(results: _Results, runs: Counter[str]) -> list[str]:
    refused = Code.SERVICE_UNAVAILABLE
    return [
        f'report {number} was told not run but ran'
        for number, answer in enumerate(results.reports)
        if answer.code is refused and runs[f'POST /reports burst-{number}']
    ]


def main() -> int:
    """Runs the demo.

    Returns:
        Exit status: 1 if a promise was broken or a caller failed, else 0.
    """
    binary = sys.argv[1] if len(sys.argv) > 1 else ''
    _print_line('starting Severn Vale: 8 entry instances, 10 backend servers, fabric, platform')
    started_at = time.monotonic()
    with Cluster(severn_vale_spec(), binary) as cluster:
        cluster.wait_for_witnesses()
        _print_line(f'all instances serve after {time.monotonic() - started_at:.1f} s')
        results = _Results()
        asyncio.run(_run_callers(cluster, results))
        violations = _check_results(cluster, results)
    for violation in violations:
        _print_line(f'BROKEN: {violation}')
    _print_line('demo failed' if violations else 'every promise held')
    return 1 if violations else 0


if __name__ == '__main__':
    sys.exit(main())
