"""Tests of fetches of the directory over a narrow link."""

import asyncio
import json
from contextlib import suppress

from testtools import TestCase
from testtools.matchers import Equals

from berylstair.ids import Endpoint
from berylstair.steering_links import fetch_directory, serve_directory
from berylstair.steering_message import DirectoryChangeRow, DirectoryReply
from emulator.udp import find_free_ports

# 10 Mbit/s, the second narrowest of the users' links.
LINK_BYTES_PER_S = 1_250_000
CHUNK_BYTES = 4096
ROUTE_COUNT = 1640
FETCH_COUNT = 16


class NarrowLink:
    """TCP relay whose connections share the bandwidth of one link."""

    def __init__(self, target: Endpoint) -> None:
        """Relays connections to a target."""
        self._target = target
        self._free_at = 0.0

    async def accept(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Relays one connection."""
        target_reader, target_writer = await asyncio.open_connection(*self._target)
        with suppress(ConnectionError):
            await asyncio.gather(
                self._relay(reader, target_writer), self._relay(target_reader, writer)
            )

    async def _relay(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        loop = asyncio.get_running_loop()
        data = await reader.read(CHUNK_BYTES)
        while data:
            self._free_at = max(self._free_at, loop.time()) + len(data) / LINK_BYTES_PER_S
            await asyncio.sleep(self._free_at - loop.time())
            writer.write(data)
            await writer.drain()
            data = await reader.read(CHUNK_BYTES)
        writer.close()


def large_configuration() -> bytes:
    """Returns a configuration as large as the users' largest."""
    rows = [
        {
            'name': f'route-{number * 7919 % 100003}',
            'host': f'198.18.{number % 200}.{number % 251}',
            'prefix': f'/{number + 1000}/',
            'type': 'safe',
            'timeout_ms': 4000 + number % 100,
            'slo_ms': 250,
            'priority': 2,
            'service': f'service-{number % 30}',
        }
        for number in range(ROUTE_COUNT)
    ]
    return json.dumps({'version': 7, 'routes': rows}).encode()


class FetchTest(TestCase):
    """Many peers fetch a large configuration at the same time."""

    def test_many_fetch_a_large_configuration_over_one_narrow_link(self) -> None:
        row = DirectoryChangeRow('op/config', 9, is_removed=False, value=large_configuration())
        directory_endpoint, relay_endpoint = (
            Endpoint('127.0.0.1', port) for port in find_free_ports(2)
        )

        async def fetch_all() -> list[DirectoryReply | None]:
            await serve_directory(directory_endpoint, lambda _after: DirectoryReply(9, (row,)))
            server = await asyncio.start_server(
                NarrowLink(directory_endpoint).accept, *relay_endpoint
            )
            async with server:
                fetches = [fetch_directory(relay_endpoint, 0) for _ in range(FETCH_COUNT)]
                return list(await asyncio.gather(*fetches))

        replies = asyncio.run(fetch_all())
        self.assertThat({reply.revision if reply else None for reply in replies}, Equals({9}))
