"""Kinds of disruption, each a coroutine that returns when the disruption is over.

``release`` returns without waiting until its servers have drained.
"""

import asyncio
import signal
from collections.abc import Awaitable, Callable, Mapping

from emulator.faults import Faults
from emulator.platform_store import StoreFault
from soak.fleet import STORE, InstanceProcess
from soak.world import SERVICES, ZONES, Testbed

__all__ = ['DISRUPTION_BY_NAME', 'Disruption']

Disruption = Callable[[Testbed, float], Awaitable[None]]
_LOSSY = Faults(drop_ratio=0.1, duplicate_ratio=0.1, delay_ms=(0.0, 30.0))
_BLOCKED = Faults(is_blocked=True)
_RESET = Faults(resets_connections=True)


def _sample_instances(testbed: Testbed, share: float) -> list[InstanceProcess]:
    """Returns a random share of the instances: at least one and, of several, never all."""
    instances = testbed.fleet.instances
    most = max(len(instances) - 1, 1)
    return testbed.rng.sample(instances, min(max(round(len(instances) * share), 1), most))


async def _kill_some(testbed: Testbed, for_s: float) -> None:
    killed = [
        testbed.fleet.kill_and_restart(instance, for_s / 2)
        for instance in _sample_instances(testbed, 0.3)
    ]
    await asyncio.gather(*killed)


async def _kill_all(testbed: Testbed, for_s: float) -> None:
    killed = [
        testbed.fleet.kill_and_restart(instance, for_s / 4) for instance in testbed.fleet.instances
    ]
    await asyncio.gather(*killed)


async def _kill_with_clock_step(testbed: Testbed, for_s: float) -> None:
    offset_s = testbed.rng.choice((-30.0, -2.0, 2.0))
    await testbed.fleet.kill_and_restart(
        testbed.rng.choice(testbed.fleet.instances), for_s / 4, offset_s
    )


async def _pause_some(testbed: Testbed, for_s: float) -> None:
    await asyncio.gather(
        *(testbed.fleet.pause(instance, for_s) for instance in _sample_instances(testbed, 0.3))
    )


async def _stop_in_turn(testbed: Testbed, _for_s: float) -> None:
    for instance in _sample_instances(testbed, 0.6):
        await testbed.fleet.stop_and_restart(instance, signal_count=testbed.rng.choice((1, 1, 2)))


async def _stop_together(testbed: Testbed, _for_s: float) -> None:
    await asyncio.gather(
        *(testbed.fleet.stop_and_restart(instance) for instance in _sample_instances(testbed, 0.4))
    )


async def _reload_some(testbed: Testbed, _for_s: float) -> None:
    for instance in _sample_instances(testbed, 0.5):
        testbed.fleet.send_signal(instance, signal.SIGHUP)


async def _inject_link_faults(
    testbed: Testbed, links: list[tuple[str, str]], faults: Faults, for_s: float
) -> None:
    named = {name for link in links for name in link}
    for instance in testbed.fleet.instances:
        if instance.name in named:
            testbed.fleet.mark_disrupted(instance, for_s)
    for link in links:
        testbed.links.get_link(*link).faults = faults
    await asyncio.sleep(for_s)
    for link in links:
        testbed.links.get_link(*link).faults = Faults()


async def _degrade_links(testbed: Testbed, for_s: float) -> None:
    names = [instance.name for instance in testbed.fleet.instances]
    servers = [f'server-{number}' for number, _ in enumerate(testbed.server_addresses)]
    links = [(one, other) for one in names for other in (*names, *servers) if one != other]
    await _inject_link_faults(
        testbed, [*links, *(('fabric', name) for name in names)], _LOSSY, for_s
    )


async def _block_one_way(testbed: Testbed, for_s: float) -> None:
    names = [instance.name for instance in testbed.fleet.instances]
    source = testbed.rng.choice(names)
    links = [(source, name) for name in names if name != source]
    await _inject_link_faults(testbed, links, _BLOCKED, for_s)


async def _partition_zone(testbed: Testbed, for_s: float) -> None:
    zone_index = testbed.rng.randrange(len(ZONES))
    inside = [
        instance.name for instance in testbed.fleet.instances if instance.zone == ZONES[zone_index]
    ]
    outside = [
        instance.name for instance in testbed.fleet.instances if instance.zone != ZONES[zone_index]
    ]
    servers = {
        f'server-{number}': number % len(ZONES) == zone_index
        for number, _ in enumerate(testbed.server_addresses)
    }
    links = [(one, other) for one in inside for other in outside]
    links.extend((other, one) for one in inside for other in outside)
    links.extend(
        (one, name) for one in inside for name, is_inside in servers.items() if not is_inside
    )
    links.extend((one, name) for one in outside for name, is_inside in servers.items() if is_inside)
    links.extend((one, STORE) for one in inside)
    links.extend(('peers', one) for one in inside)
    await _inject_link_faults(testbed, links, _BLOCKED, for_s)


async def _block_store_links(testbed: Testbed, for_s: float) -> None:
    faults = testbed.rng.choice((_BLOCKED, _RESET))
    await _inject_link_faults(
        testbed,
        [(instance.name, STORE) for instance in _sample_instances(testbed, 0.5)],
        faults,
        for_s,
    )


async def _block_server_links(testbed: Testbed, for_s: float) -> None:
    number = testbed.rng.randrange(len(testbed.server_addresses))
    links = [(instance.name, f'server-{number}') for instance in _sample_instances(testbed, 0.5)]
    await _inject_link_faults(testbed, links, _BLOCKED, for_s)


async def _inject_store_fault(testbed: Testbed, for_s: float) -> None:
    faults = [fault for fault in StoreFault if fault is not StoreFault.NONE]
    await testbed.inject_store_fault(testbed.rng.choice(faults), for_s)


async def _compact_store(testbed: Testbed, for_s: float) -> None:
    store_fault = asyncio.create_task(
        testbed.inject_store_fault(StoreFault.WATCH_SILENT, min(for_s, 1))
    )
    await testbed.drain_and_replace_server(
        testbed.rng.randrange(len(testbed.server_addresses)), SERVICES[0]
    )
    testbed.store.compact_history()
    await store_fault


async def _crash_servers(testbed: Testbed, for_s: float) -> None:
    numbers = testbed.rng.sample(
        range(len(testbed.server_addresses)), max(len(testbed.server_addresses) // 4, 1)
    )
    is_same_id = testbed.rng.choice((False, True))
    crashes = [testbed.crash_server(number, for_s, is_same_id) for number in numbers]
    await asyncio.gather(*crashes)


async def _drain_servers(testbed: Testbed, _for_s: float) -> None:
    for number in testbed.rng.sample(
        range(len(testbed.server_addresses)), len(testbed.server_addresses) // 3
    ):
        server = testbed.server_addresses[number].server
        if server is not None:
            asyncio.create_task(testbed.drain_and_replace_server(number, server.service))
        await asyncio.sleep(0.3)


async def _swap_services(testbed: Testbed, _for_s: float) -> None:
    numbers = testbed.rng.sample(range(len(testbed.server_addresses)), 2)
    servers = [testbed.server_addresses[number].server for number in numbers]
    swapped_services = reversed([server.service if server else SERVICES[0] for server in servers])
    replacements = zip(numbers, swapped_services, strict=True)
    await asyncio.gather(
        *(testbed.drain_and_replace_server(number, service) for number, service in replacements)
    )


async def _change_routes(testbed: Testbed, for_s: float) -> None:
    added = [
        testbed.add_route(testbed.rng.choice(SERVICES)) for _ in range(testbed.rng.choice((1, 6)))
    ]
    await asyncio.sleep(for_s + 2)
    for route in added:
        await testbed.check_route(route)
        testbed.remove_route(route)
    await asyncio.sleep(for_s + 2)
    for route in added:
        await testbed.check_route(route)


DISRUPTION_BY_NAME: Mapping[str, Disruption] = {
    'kill_some': _kill_some,
    'kill_all': _kill_all,
    'clock_step': _kill_with_clock_step,
    'pause_some': _pause_some,
    'stop_in_turn': _stop_in_turn,
    'stop_together': _stop_together,
    'reload': _reload_some,
    'noise': _degrade_links,
    'cut_one_way': _block_one_way,
    'cut_zone': _partition_zone,
    'cut_from_store': _block_store_links,
    'cut_from_server': _block_server_links,
    'break_store': _inject_store_fault,
    'compact_store': _compact_store,
    'crash_servers': _crash_servers,
    'release': _drain_servers,
    'reuse_addresses': _swap_services,
    'change_routes': _change_routes,
}
