"""Tests of fetches of the directory over a narrow link."""

import asyncio
import json
import zlib
from contextlib import suppress
from http import HTTPStatus

from testtools import TestCase
from testtools.matchers import Equals

from berylstair.directory import START_POSITION
from berylstair.errors import SourceError
from berylstair.ids import Endpoint
from berylstair.steering_links import fetch_directory, serve_directory, serve_page
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


def make_frame(data: bytes) -> bytes:
    """Returns data as the frame that carries a message."""
    compressed = zlib.compress(data)
    return len(compressed).to_bytes(4, 'big') + compressed


JUNK = (
    b'',
    b'\x00\x00',
    b'\x00\x00\x00\x05abcde',
    b'\x00\x00\x00\x05abc',
    b'\xff\xff\xff\xff' + bytes(50),
    make_frame(b'not a message'),
    make_frame(bytes(32 << 20)),
    b'POST / HTTP/1.1\r\n\r\n',
    b'GET ' + bytes(1 << 17),
)


async def exchange(endpoint: Endpoint, data: bytes) -> bytes:
    """Sends bytes on a new connection and returns what comes back until it closes."""
    reader, writer = await asyncio.open_connection(*endpoint)
    writer.write(data)
    if writer.can_write_eof():
        writer.write_eof()
    with suppress(ConnectionError):
        return await reader.read()
    return b''


class BrokenRequestTest(TestCase):
    """Requests that are broken end their own connection only."""

    def test_servers_outlive_broken_requests(self) -> None:
        reply = DirectoryReply(1, 9, ())
        directory_endpoint, page_endpoint = (
            Endpoint('127.0.0.1', port) for port in find_free_ports(2)
        )

        async def send_all() -> tuple[list[bytes], DirectoryReply, bytes]:
            await serve_directory(directory_endpoint, lambda _after: reply)
            await serve_page(page_endpoint, lambda: (HTTPStatus.OK, 'ready'))
            answers = [await exchange(directory_endpoint, junk) for junk in JUNK]
            for junk in JUNK:
                await exchange(page_endpoint, junk)
            page = await exchange(page_endpoint, b'GET /x HTTP/1.1\r\nHost: a\r\n\r\n')
            return answers, await fetch_directory(directory_endpoint, START_POSITION), page

        answers, fetched, page = asyncio.run(send_all())
        self.assertThat(set(answers), Equals({b''}))
        self.assertThat(fetched, Equals(reply))
        self.assertThat(page.split(b'\r\n')[0], Equals(b'HTTP/1.1 200 OK'))
        self.assertThat(page.endswith(b'\r\n\r\nready'), Equals(True))

    def test_broken_replies_are_reported(self) -> None:
        (endpoint,) = (Endpoint('127.0.0.1', port) for port in find_free_ports(1))

        async def fetch_from(junk: bytes) -> DirectoryReply:
            async def answer(_reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
                writer.write(junk)
                writer.close()

            async with await asyncio.start_server(answer, *endpoint):
                return await fetch_directory(endpoint, START_POSITION)

        for junk in JUNK:
            with self.subTest(junk=junk[:20]):
                self.assertRaises(SourceError, asyncio.run, fetch_from(junk))


class FetchTest(TestCase):
    """Many peers fetch a large configuration at the same time."""

    def test_many_fetch_a_large_configuration_over_one_narrow_link(self) -> None:
        row = DirectoryChangeRow('op/config', 1, 9, False, large_configuration(), 0, 3, False)
        directory_endpoint, relay_endpoint = (
            Endpoint('127.0.0.1', port) for port in find_free_ports(2)
        )

        async def fetch_all() -> list[DirectoryReply]:
            await serve_directory(directory_endpoint, lambda _after: DirectoryReply(1, 9, (row,)))
            server = await asyncio.start_server(
                NarrowLink(directory_endpoint).accept, *relay_endpoint
            )
            async with server:
                fetches = [
                    fetch_directory(relay_endpoint, START_POSITION) for _ in range(FETCH_COUNT)
                ]
                return list(await asyncio.gather(*fetches))

        replies = asyncio.run(fetch_all())
        self.assertThat({reply.revision for reply in replies}, Equals({9}))
