"""Throughput of the packet path of one instance: ``python -m emulator.packets``."""

import asyncio
import sys
import time

from emulator.cluster import Cluster, ServiceSpec, severn_vale_spec
from emulator.load import PacketFlood
from emulator.usage import process_cpu_s, resident_memory_mb

__all__ = ()

NEW_FLOWS = 200_000
NEW_FLOWS_PER_S = 8000.0
PACKETS = 100_000
PACKETS_PER_S = 12_000.0
_PAYLOAD = b'G' + bytes(99)
_SETTLE_S = 1.0


def main() -> None:
    """Floods an instance; prints its packet rate per core and the memory of its flows."""
    service = ServiceSpec('mapserve-flow', 'flow', 3, flow_idle_s=600)
    spec = severn_vale_spec(services=(service,), instances=1)
    with Cluster(spec) as cluster:
        asyncio.run(_flood(cluster))


async def _flood(cluster: Cluster) -> None:
    instance = next(iter(cluster.instance_by_name.values()))
    pid = instance.process.pid
    await asyncio.to_thread(cluster.fabric.kill)
    address = cluster.address_by_service['mapserve-flow']
    flood = PacketFlood(instance.fabric_listen, address, cluster.relay_endpoint)
    before_mb = resident_memory_mb(pid)
    for phase, packet_count, packets_per_s in (
        ('new flows', NEW_FLOWS, NEW_FLOWS_PER_S),
        ('packets of known flows', PACKETS, PACKETS_PER_S),
    ):
        first_statuses = await asyncio.to_thread(cluster.statuses)
        cpu_s, started_at = process_cpu_s(pid), time.monotonic()
        await flood.send_packets(range(NEW_FLOWS), packet_count, packets_per_s, _PAYLOAD)
        await asyncio.sleep(_SETTLE_S)
        last_statuses = await asyncio.to_thread(cluster.statuses)
        cpu_s, seconds = process_cpu_s(pid) - cpu_s, time.monotonic() - started_at
        received_count, relayed_count = (
            last_statuses[0]['traffic'].get(name, 0) - first_statuses[0]['traffic'].get(name, 0)
            for name in ('caller_datagrams', 'answers_relayed')
        )
        sys.stdout.write(
            f'- {phase}: {received_count:,} taken and {relayed_count:,} answers relayed '
            f'in {seconds:.1f} s, '
            f'{(received_count + relayed_count) / cpu_s:,.0f} datagrams a second and core\n',
        )
    status = (await asyncio.to_thread(cluster.statuses))[0]
    added_mb = resident_memory_mb(pid) - before_mb
    sys.stdout.write(f'- {status["open_flows"]:,} flows held in {added_mb:.0f} MB\n')


if __name__ == '__main__':
    main()
