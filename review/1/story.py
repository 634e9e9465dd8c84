"""Another writer's unreadable entry in the store, then a new configuration and a leaving server."""

import asyncio
import os
import random
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from standins.world import BOUNDS, ZONES, World, play  # noqa: E402

TROUBLE = os.environ.get('TROUBLE', '1') != '0'
KEPT, DROPPED, ADDED = ('127.18.0.1', 8443), ('127.18.0.2', 8443), ('127.18.0.3', 8080)
# Bytes that no JSON reader can read: brackets that are never closed.
UNREADABLE = b'[' * 2000
# For comparison: a field with a number that no float can hold.
if os.environ.get('VARIANT') == 'number':
    UNREADABLE = (
        b'{"service":"draw-api","address":"127.0.0.1:9","zone":"cuenca-a","slots":1'
        + b'0' * 400
        + b',"state":"ready"}'
    )
STABLE_S = BOUNDS['stable_window_ms'] / 1000
APPLY_S = BOUNDS['config_apply_ms'] / 1000
DRAIN_S = BOUNDS['drain_ms'] / 1000
TEST_S = 4.0


async def story(world: World) -> None:
    record = world.record
    world.publish({KEPT: 'draw-api', DROPPED: 'draw-api'})
    await world.start((3, 3, 2), 7, ('draw-api',))
    await world.wait_ready()
    await asyncio.sleep(STABLE_S + 1)

    if TROUBLE:
        world.store.put('servers/i-00c0ffee', UNREADABLE)
    await asyncio.sleep(1.0)

    leaving = world.servers[0]
    leaving.report('draining')
    drained_at = time.monotonic()
    world.publish({KEPT: 'draw-api', ADDED: 'draw-api'})
    published_at = time.monotonic()

    def observe(what: str, server: object, key: tuple, _packet: object) -> None:
        age_s = time.monotonic() - drained_at
        if what == 'syn' and server is leaving and age_s > DRAIN_S + 0.2:
            world.broken.append(
                f'DRAIN {leaving.id} got the opening packet of {key} {age_s:.2f} s after its draining was confirmed'
            )

    world.observers.append(observe)
    counts: dict[str, int] = {}
    asked: list[asyncio.Task] = []

    async def ask(address: tuple[str, int]) -> None:
        sent_s = time.monotonic() - published_at
        flow = world.new_flow(random.choice(ZONES), address)
        outcome = await flow.open()
        if outcome == 'open':
            outcome = await flow.request('GET', '/list', 2.5)
        flow.close()
        name = {KEPT: 'kept', DROPPED: 'dropped', ADDED: 'added'}[address]
        counts[f'{name} {outcome}'] = counts.get(f'{name} {outcome}', 0) + 1
        record.write(
            f'request to the {name} route, sent {sent_s:.2f} s after the version was confirmed: {outcome}'
        )
        if sent_s > APPLY_S and (name, outcome) in {('added', 'reset'), ('dropped', 'ok')}:
            world.broken.append(
                f'CONFIG request to the {name} route, sent {sent_s:.2f} s after its version was confirmed: {outcome}'
            )

    await asyncio.sleep(APPLY_S + 0.2)
    until = time.monotonic() + TEST_S
    while time.monotonic() < until:
        for address in (KEPT, DROPPED, ADDED):
            asked.append(asyncio.create_task(ask(address)))
        await asyncio.sleep(0.05)
    await asyncio.gather(*asked)
    for name, count in sorted(counts.items()):
        record.write(f'{count} requests: {name}')
    if not counts.get('kept ok'):
        raise RuntimeError('no request to the kept route was served')


play(FOLDER, story)
