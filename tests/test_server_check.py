"""Tests of liveness checks over TCP connections on the loopback interface."""

import asyncio
import socket
import time
from collections.abc import Iterator
from contextlib import closing, contextmanager

from testtools import TestCase
from testtools.matchers import Equals, LessThan

from berylstair.ids import Endpoint
from berylstair.server_check import CHECK_TIMEOUT_S, check_server
from berylstair.server_death import CheckOutcome
from emulator.udp import find_free_ports

ANSWER = b'HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n'
# Beyond the timeout: a check that takes longer would hold up the decision.
MARGIN_S = 0.4


@contextmanager
def listening(backlog: int = 8) -> Iterator[tuple[socket.socket, Endpoint]]:
    """Opens a listening socket whose connections nobody takes, as of a frozen process."""
    with closing(socket.socket()) as listener:
        listener.bind(('127.0.0.1', 0))
        listener.listen(backlog)
        yield listener, Endpoint(*listener.getsockname())


def check(address: Endpoint) -> CheckOutcome:
    """Checks an address."""
    return asyncio.run(check_server(address, '/health'))


class CheckServerTest(TestCase):
    """Outcomes by the state of the server."""

    def test_a_server_that_answers(self) -> None:
        """Guards against a request that no HTTP server understands, and against more than one."""
        requests: list[bytes] = []

        async def answer(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            requests.append(await reader.readuntil(b'\r\n\r\n'))
            writer.write(ANSWER)
            writer.close()

        async def run() -> CheckOutcome:
            (port,) = find_free_ports(1)
            async with await asyncio.start_server(answer, '127.0.0.1', port):
                return await check_server(Endpoint('127.0.0.1', port), '/health')

        self.assertThat(asyncio.run(run()), Equals(CheckOutcome.ACCEPTED))
        self.assertThat(len(requests), Equals(1))
        self.assertThat(requests[0].split(b'\r\n')[0], Equals(b'GET /health HTTP/1.1'))

    def test_a_frozen_server_counts_as_accepting(self) -> None:
        """Guards against a frozen server that looks dead."""
        with listening() as (_, address):
            self.assertThat(check(address), Equals(CheckOutcome.ACCEPTED))

    def test_a_server_that_ends_the_connection_counts_as_accepting(self) -> None:
        """Guards against a server under load that looks dead."""

        async def drop(_reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            writer.transport.abort()

        async def run() -> CheckOutcome:
            (port,) = find_free_ports(1)
            async with await asyncio.start_server(drop, '127.0.0.1', port):
                return await check_server(Endpoint('127.0.0.1', port), '/health')

        self.assertThat(asyncio.run(run()), Equals(CheckOutcome.ACCEPTED))

    def test_a_closed_port_refuses(self) -> None:
        """Guards against a crash that is not seen though the machine tells of it."""
        (port,) = find_free_ports(1)
        self.assertThat(check(Endpoint('127.0.0.1', port)), Equals(CheckOutcome.REFUSED))

    def test_a_silent_machine_does_not_accept(self) -> None:
        """Guards against a check without an end, and a silence that counts as unknown."""
        with listening(0) as (_, address), closing(socket.socket()) as first:
            # With the queue of connections full, the kernel drops further ones silently.
            first.connect(address)
            started_at = time.monotonic()
            outcome = check(address)
            elapsed_s = time.monotonic() - started_at
        self.assertThat(outcome, Equals(CheckOutcome.NOT_ACCEPTED))
        self.assertThat(elapsed_s, LessThan(CHECK_TIMEOUT_S + MARGIN_S))

    def test_a_paused_process_knows_nothing(self) -> None:
        """Guards against a death that only a pause of the checking process shows."""

        async def run() -> CheckOutcome:
            asyncio.get_running_loop().call_later(0.05, time.sleep, CHECK_TIMEOUT_S)
            return await check_server(address, '/health')

        with listening(0) as (_, address), closing(socket.socket()) as first:
            first.connect(address)
            self.assertThat(asyncio.run(run()), Equals(CheckOutcome.UNKNOWN))
