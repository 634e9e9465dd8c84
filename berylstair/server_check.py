"""Liveness check of a backend server over TCP."""

import asyncio
import errno
import socket
from contextlib import ExitStack, suppress

from berylstair.ids import Endpoint
from berylstair.server_death import CheckOutcome
from berylstair.serving import boot_clock

__all__ = ['CHECK_TIMEOUT_S', 'check_server']

# A connection to a machine in the same network takes milliseconds; a caller that waits for
# the outcome has 3.6 s.
CHECK_TIMEOUT_S = 0.5
# Further connections are opened after these times while none was accepted: with a tenth of
# all packets lost in each direction, a single one fails in 19% of the cases, three in 0.7%.
_CONNECTION_DELAYS_S = (0.0, 0.12, 0.24)
# The loop is watched at this interval. If it runs later than that by more than the second
# value, the process was paused or busy, and an answer may have been missed.
_TICK_S = 0.05
_MAX_TICK_DELAY_S = 0.1
_MAX_ANSWER_BYTES = 4096
_DECISIVE_OUTCOMES = frozenset((CheckOutcome.ACCEPTED, CheckOutcome.REFUSED))
_UNREACHABLE_HOST_ERRORS = frozenset((errno.EHOSTUNREACH, errno.EHOSTDOWN, errno.ETIMEDOUT))


async def check_server(address: Endpoint, path: str) -> CheckOutcome:
    """Checks whether a server accepts a connection.

    The answer to the request does not matter: a frozen server accepts connections and
    does not answer.

    Args:
        address: Address of the server.
        path: What is requested.

    Returns:
        The outcome, ``UNKNOWN`` if this process did not run all the time.
    """
    return await _ServerCheck(address, path).run()


class _ServerCheck:
    """A check of one server, by connections that are opened until one is accepted or refused.

    Attributes:
        outcomes: What the connections have shown so far.
    """

    def __init__(self, address: Endpoint, path: str) -> None:
        """Prepares the check."""
        self.outcomes: set[CheckOutcome] = set()
        self._address = address
        self._request = (
            f'GET {path} HTTP/1.1\r\nHost: {address}\r\nConnection: close\r\n\r\n'.encode()
        )

    async def run(self) -> CheckOutcome:
        """Carries out the check within its timeout."""
        with ExitStack() as stack:
            tasks = {asyncio.create_task(self._connect(delay)) for delay in _CONNECTION_DELAYS_S}
            for task in tasks:
                stack.callback(task.cancel)
            is_delayed = await self._watch(tasks)
        for decisive in (CheckOutcome.ACCEPTED, CheckOutcome.REFUSED):
            if decisive in self.outcomes:
                return decisive
        is_unknown = is_delayed or CheckOutcome.UNKNOWN in self.outcomes
        return CheckOutcome.UNKNOWN if is_unknown else CheckOutcome.NOT_ACCEPTED

    async def _watch(self, tasks: set[asyncio.Task[None]]) -> bool:
        """Waits for the connections; returns whether the process did not run all the time."""
        ends_at = boot_clock() + CHECK_TIMEOUT_S
        is_delayed = False
        pending = tasks
        while pending and boot_clock() < ends_at and CheckOutcome.REFUSED not in self.outcomes:
            tick_at = boot_clock()
            _, pending = await asyncio.wait(pending, timeout=_TICK_S)
            is_delayed = is_delayed or boot_clock() - tick_at > _TICK_S + _MAX_TICK_DELAY_S
        return is_delayed

    async def _connect(self, delay_s: float) -> None:
        """Opens a connection after a delay, unless another one has shown how the server is."""
        await asyncio.sleep(delay_s)
        if self.outcomes & _DECISIVE_OUTCOMES:
            return
        with socket.socket(socket.AF_INET, socket.SOCK_STREAM) as connection:
            connection.setblocking(False)
            try:
                await asyncio.get_running_loop().sock_connect(connection, self._address)
            except OSError as error:
                self.outcomes.add(_outcome_of(error))
                return
            self.outcomes.add(CheckOutcome.ACCEPTED)
            with suppress(OSError):
                await self._request_page(connection)

    async def _request_page(self, connection: socket.socket) -> None:
        """Sends the request and waits for the answer, so that the server ends it in order."""
        loop = asyncio.get_running_loop()
        await loop.sock_sendall(connection, self._request)
        await loop.sock_recv(connection, _MAX_ANSWER_BYTES)


def _outcome_of(error: OSError) -> CheckOutcome:
    if isinstance(error, ConnectionRefusedError):
        return CheckOutcome.REFUSED
    if error.errno in _UNREACHABLE_HOST_ERRORS:
        return CheckOutcome.NOT_ACCEPTED
    return CheckOutcome.UNKNOWN
