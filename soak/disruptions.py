"""Kinds of disruption, each a coroutine that returns when the disruption is over.

``release`` returns without waiting until its servers have drained.
"""

import asyncio
import signal
from collections.abc import Awaitable, Callable, Mapping, Sequence

from emulator.faults import Faults
from emulator.odd_entries import ODD_ENTRIES
from emulator.platform_store import StoreFault
from soak.environment import (
    CALLERS,
    PEER_PROPAGATION_LIMIT_S,
    SERVICES,
    ZONES,
    SoakEnvironment,
)
from soak.fleet import STORE, InstanceProcess

__all__ = [
    'DISRUPTION_BY_NAME',
    'EVACUATION',
    'IDLE_FLOW_KINDS',
    'OLD_DIRECTORY_KINDS',
    'STORE_RESTORE',
    'Disruption',
]

Disruption = Callable[[SoakEnvironment, float], Awaitable[None]]
STORE_RESTORE = 'restore_store'
EVACUATION = 'evacuate_zone'
# Kinds that have made instances serve on an old directory.
OLD_DIRECTORY_KINDS = ('odd_entries', 'refuse_some', 'slow_zone')
# Kinds that have reset open flows whose callers pause.
IDLE_FLOW_KINDS = ('lose_answers', 'pause_briefly', 'rejoin', 'stop_in_turn')
_ANSWERS_LOST = Faults(drop_ratio=0.3)
_LOSSY = Faults(drop_ratio=0.1, duplicate_ratio=0.1, delay_ms=(0.0, 30.0))
_BLOCKED = Faults(is_blocked=True)
_RESET = Faults(resets_connections=True)
_REFUSED = Faults(refuses_calls=True)
# Packets wait for over half a second at a link that more is sent to than it can carry.
_SLOW = Faults(delay_ms=(700.0, 700.0))
# Shorter than what a process itself, or the fabric, notices as a pause.
BRIEF_PAUSE_RANGE_S = (0.2, 0.95)
BRIEF_PAUSE_GAP_S = 0.2
ABSENCE_S = 1.0
# A burst of clients, and the time for which its packets go on waiting.
SLOW_ZONE_S = 8.0
ODD_ENTRY_COUNT = 4


def _sample_instances(environment: SoakEnvironment, share: float) -> list[InstanceProcess]:
    """Returns a random share of the instances: at least one and, of several, never all."""
    instances = environment.fleet.instances
    most = max(len(instances) - 1, 1)
    return environment.rng.sample(instances, min(max(round(len(instances) * share), 1), most))


async def _kill_some(environment: SoakEnvironment, for_s: float) -> None:
    restarts = [
        environment.fleet.kill_and_restart(instance, for_s / 2)
        for instance in _sample_instances(environment, 0.3)
    ]
    await asyncio.gather(*restarts)


async def _kill_all(environment: SoakEnvironment, for_s: float) -> None:
    restarts = [
        environment.fleet.kill_and_restart(instance, for_s / 4)
        for instance in environment.fleet.instances
    ]
    await asyncio.gather(*restarts)


async def _kill_with_clock_step(environment: SoakEnvironment, for_s: float) -> None:
    offset_s = environment.rng.choice((-30.0, -2.0, 2.0))
    await environment.fleet.kill_and_restart(
        environment.rng.choice(environment.fleet.instances), for_s / 4, offset_s
    )


async def _pause_some(environment: SoakEnvironment, for_s: float) -> None:
    await asyncio.gather(
        *(
            environment.fleet.pause(instance, for_s)
            for instance in _sample_instances(environment, 0.3)
        )
    )


async def _pause_briefly(environment: SoakEnvironment, _for_s: float) -> None:
    for instance in _sample_instances(environment, 1):
        await environment.fleet.pause(instance, environment.rng.uniform(*BRIEF_PAUSE_RANGE_S))
        await asyncio.sleep(BRIEF_PAUSE_GAP_S)


async def _rejoin(environment: SoakEnvironment, _for_s: float) -> None:
    await asyncio.gather(
        *(
            environment.fleet.stop_and_restart(instance, absent_s=ABSENCE_S)
            for instance in _sample_instances(environment, 0.3)
        )
    )


async def _lose_answers(environment: SoakEnvironment, for_s: float) -> None:
    names = [f'server-{number}' for number, _ in enumerate(environment.server_addresses)]
    links = [(name, CALLERS) for name in names]
    everyone = [instance.name for instance in environment.fleet.instances]
    await _inject_link_faults(environment, links, _ANSWERS_LOST, for_s, affected=everyone)


async def _stop_in_turn(environment: SoakEnvironment, _for_s: float) -> None:
    for instance in _sample_instances(environment, 0.6):
        await environment.fleet.stop_and_restart(
            instance, signal_count=environment.rng.choice((1, 1, 2))
        )


async def _stop_together(environment: SoakEnvironment, _for_s: float) -> None:
    await asyncio.gather(
        *(
            environment.fleet.stop_and_restart(instance)
            for instance in _sample_instances(environment, 0.4)
        )
    )


async def _reload_some(environment: SoakEnvironment, _for_s: float) -> None:
    for instance in _sample_instances(environment, 0.5):
        environment.fleet.send_signal(instance, signal.SIGHUP)


async def _inject_link_faults(
    environment: SoakEnvironment,
    links: list[tuple[str, str]],
    faults: Faults,
    for_s: float,
    affected: Sequence[str] = (),
) -> None:
    """Injects faults into links; the affected instances are those at either end by default."""
    affected_names = affected or {name for link in links for name in link}
    for instance in environment.fleet.instances:
        if instance.name in affected_names:
            environment.fleet.mark_disrupted(instance, for_s)
    for link in links:
        environment.links.get_link(*link).faults = faults
    await asyncio.sleep(for_s)
    for link in links:
        environment.links.get_link(*link).faults = Faults()


async def _degrade_links(environment: SoakEnvironment, for_s: float) -> None:
    names = [instance.name for instance in environment.fleet.instances]
    servers = [f'server-{number}' for number, _ in enumerate(environment.server_addresses)]
    links = [(one, other) for one in names for other in (*names, *servers) if one != other]
    await _inject_link_faults(
        environment, [*links, *(('fabric', name) for name in names)], _LOSSY, for_s
    )


async def _block_one_way(environment: SoakEnvironment, for_s: float) -> None:
    names = [instance.name for instance in environment.fleet.instances]
    source = environment.rng.choice(names)
    links = [(source, name) for name in names if name != source]
    await _inject_link_faults(environment, links, _BLOCKED, for_s)


async def _partition_zone(environment: SoakEnvironment, for_s: float) -> None:
    zone_index = environment.rng.randrange(len(ZONES))
    inside = [
        instance.name
        for instance in environment.fleet.instances
        if instance.zone == ZONES[zone_index]
    ]
    outside = [
        instance.name
        for instance in environment.fleet.instances
        if instance.zone != ZONES[zone_index]
    ]
    is_inside_by_server = {
        f'server-{number}': number % len(ZONES) == zone_index
        for number, _ in enumerate(environment.server_addresses)
    }
    links = [(one, other) for one in inside for other in outside]
    links.extend((other, one) for one in inside for other in outside)
    links.extend(
        (one, name)
        for one in inside
        for name, is_inside in is_inside_by_server.items()
        if not is_inside
    )
    links.extend(
        (one, name)
        for one in outside
        for name, is_inside in is_inside_by_server.items()
        if is_inside
    )
    links.extend((one, STORE) for one in inside)
    links.extend(('peers', one) for one in inside)
    await _inject_link_faults(environment, links, _BLOCKED, for_s)


async def _block_store_links(environment: SoakEnvironment, for_s: float) -> None:
    faults = environment.rng.choice((_BLOCKED, _RESET))
    await _inject_link_faults(
        environment,
        [(instance.name, STORE) for instance in _sample_instances(environment, 0.5)],
        faults,
        for_s,
    )


async def _block_server_links(environment: SoakEnvironment, for_s: float) -> None:
    number = environment.rng.randrange(len(environment.server_addresses))
    links = [
        (instance.name, f'server-{number}') for instance in _sample_instances(environment, 0.5)
    ]
    await _inject_link_faults(environment, links, _BLOCKED, for_s)


async def _inject_store_fault(environment: SoakEnvironment, for_s: float) -> None:
    faults = [fault for fault in StoreFault if fault is not StoreFault.NONE]
    await environment.inject_store_fault(environment.rng.choice(faults), for_s)


async def _compact_store(environment: SoakEnvironment, for_s: float) -> None:
    store_fault = asyncio.create_task(
        environment.inject_store_fault(StoreFault.WATCH_SILENT, min(for_s, 1))
    )
    number = environment.rng.randrange(len(environment.server_addresses))
    server = environment.server_addresses[number].server
    if server is not None:
        await environment.drain_and_replace_server(number, server.service)
    environment.store.compact_history()
    await store_fault


async def _restore_store(environment: SoakEnvironment, for_s: float) -> None:
    """Loses a change of routes; the next one gets a revision that was given out before."""
    copy = environment.store.make_copy()
    await asyncio.sleep(for_s)
    route = environment.add_route(environment.rng.choice(SERVICES))
    await environment.restore_store(copy, environment.rng.uniform(0, 1))
    environment.remove_route(route)
    await asyncio.sleep(PEER_PROPAGATION_LIMIT_S + 1)
    await environment.check_route(route)


async def _write_odd_entries(environment: SoakEnvironment, for_s: float) -> None:
    """Leaves unusable entries among those of the servers; changes are followed all the same."""
    names = environment.rng.sample(sorted(ODD_ENTRIES), ODD_ENTRY_COUNT)
    keys = [f'servers/i-{environment.rng.getrandbits(32):08x}' for _ in names]
    for key, name in zip(keys, names, strict=True):
        environment.store.put(key, ODD_ENTRIES[name])
    await _change_routes(environment, for_s)
    for key in keys:
        environment.store.remove(key)


async def _refuse_some(environment: SoakEnvironment, for_s: float) -> None:
    """Lets the store turn some instances away; these follow the others."""
    refused = _sample_instances(environment, 0.5)
    links = [environment.links.get_link(instance.name, STORE) for instance in refused]
    for link in links:
        link.faults = _REFUSED
    changes = asyncio.create_task(_change_routes(environment, for_s))
    await environment.mark_store_disrupted(for_s + PEER_PROPAGATION_LIMIT_S)
    for link in links:
        link.faults = Faults()
    await changes


async def _slow_zone(environment: SoakEnvironment, for_s: float) -> None:
    """Lets packets wait at the links of a zone; the other zones follow changes in time."""
    zone = environment.rng.choice(ZONES)
    names = [instance.name for instance in environment.fleet.instances]
    slow = [instance.name for instance in environment.fleet.instances if instance.zone == zone]
    links = [(one, other) for one in slow for other in names if one != other]
    links.extend((other, one) for one, other in tuple(links))
    links.extend((one, STORE) for one in slow)
    links.extend(('peers', one) for one in slow)
    changes = asyncio.create_task(_change_routes(environment, for_s))
    await _inject_link_faults(environment, links, _SLOW, SLOW_ZONE_S, affected=slow)
    await changes


async def _crash_servers(environment: SoakEnvironment, for_s: float) -> None:
    numbers = environment.rng.sample(
        range(len(environment.server_addresses)), max(len(environment.server_addresses) // 4, 1)
    )
    is_same_id = environment.rng.choice((False, True))
    crashes = [environment.crash_server(number, for_s, is_same_id) for number in numbers]
    await asyncio.gather(*crashes)


async def _drain_servers(environment: SoakEnvironment, _for_s: float) -> None:
    for number in environment.rng.sample(
        range(len(environment.server_addresses)), len(environment.server_addresses) // 3
    ):
        server = environment.server_addresses[number].server
        if server is not None:
            asyncio.create_task(environment.drain_and_replace_server(number, server.service))
        await asyncio.sleep(0.3)


async def _swap_services(environment: SoakEnvironment, _for_s: float) -> None:
    numbers = environment.rng.sample(range(len(environment.server_addresses)), 2)
    servers = [environment.server_addresses[number].server for number in numbers]
    services = [
        server.service for server in servers if server is not None and server.leaving_since is None
    ]
    # With one of the two gone already, a service could lose its last server.
    if len(services) == len(numbers):
        replacements = zip(numbers, reversed(services), strict=True)
        await asyncio.gather(
            *(
                environment.drain_and_replace_server(number, service)
                for number, service in replacements
            )
        )


async def _change_routes(environment: SoakEnvironment, for_s: float) -> None:
    routes = [
        environment.add_route(environment.rng.choice(SERVICES))
        for _ in range(environment.rng.choice((1, 6)))
    ]
    await asyncio.sleep(for_s + 2)
    for route in routes:
        await environment.check_route(route)
        environment.remove_route(route)
    await asyncio.sleep(for_s + 2)
    for route in routes:
        await environment.check_route(route)


async def _evacuate_zone(environment: SoakEnvironment, for_s: float) -> None:
    await environment.evacuate_zone(environment.rng.choice(ZONES), for_s)


DISRUPTION_BY_NAME: Mapping[str, Disruption] = {
    'kill_some': _kill_some,
    'kill_all': _kill_all,
    'clock_step': _kill_with_clock_step,
    'pause_some': _pause_some,
    'pause_briefly': _pause_briefly,
    'rejoin': _rejoin,
    'lose_answers': _lose_answers,
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
    'odd_entries': _write_odd_entries,
    'refuse_some': _refuse_some,
    'slow_zone': _slow_zone,
    STORE_RESTORE: _restore_store,
    EVACUATION: _evacuate_zone,
}
