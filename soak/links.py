"""Links between the processes of a soak run, and their faults."""

import asyncio
from contextlib import suppress
from random import Random

from berylstair.ids import Endpoint
from emulator.faults import Faults, Link
from emulator.udp import UdpSocket

__all__ = ['Links', 'PeerRelay', 'StreamRelay']

READ_CHUNK_BYTES = 65536
_MS_PER_S = 1000
_REFUSAL = b'HTTP/1.1 503 Busy\r\nStore-Era: 0\r\nContent-Length: 2\r\n\r\n{}'


class Links:
    """Directed links, by the names of their endpoints."""

    def __init__(self, rng: Random) -> None:
        """Sets up links without faults.

        Args:
            rng: Seeded random generator for the faults of all links.
        """
        self._rng = rng
        self._link_by_ends: dict[tuple[str, str], Link] = {}

    def get_link(self, source: str, target: str) -> Link:
        """Returns one direction of a link, created without faults on first use."""
        ends = (source, target)
        if ends not in self._link_by_ends:
            self._link_by_ends[ends] = Link(self._rng)
        return self._link_by_ends[ends]

    def clear_faults(self) -> None:
        """Removes the faults of every link."""
        for link in self._link_by_ends.values():
            link.faults = Faults()


class PeerRelay:
    """Relay at the published address of one instance.

    Forwards each datagram to the instance's actual address, with the sender's
    published address as source, so that instances see only published addresses.
    """

    def __init__(
        self,
        name: str,
        published: Endpoint,
        actual: Endpoint,
        links: Links,
        relay_by_ip: dict[str, 'PeerRelay'],
    ) -> None:
        """Opens the socket and adds the relay to ``relay_by_ip``.

        Args:
            name: Name of the instance.
            published: Address that the other instances use.
            actual: Address at which the instance listens.
            links: Links with their faults.
            relay_by_ip: All relays by the actual IP address of their instance.
        """
        self.name = name
        self._actual = actual
        self._links = links
        self._relay_by_ip = relay_by_ip
        relay_by_ip[actual.ip] = self
        self._socket = UdpSocket(published, self._handle_datagram)

    def close(self) -> None:
        """Closes the socket."""
        self._socket.close()

    def _handle_datagram(self, data: bytes, source: Endpoint) -> None:
        sender = self._relay_by_ip.get(source.ip)
        if sender is not None:
            link = self._links.get_link(sender.name, self.name)
            link.transmit(lambda: sender.send_as_published(data, self._actual))

    def send_as_published(self, data: bytes, target: Endpoint) -> None:
        """Sends a datagram from the published address."""
        self._socket.send(data, target)


class StreamRelay:
    """Relays TCP connections to one address with the faults of one link."""

    def __init__(self, link: Link, target: Endpoint) -> None:
        """Prepares the relay.

        Args:
            link: Link whose faults apply.
            target: Address to which connections are relayed.
        """
        self._link = link
        self._target = target
        self._server: asyncio.Server | None = None
        self._tasks: set[asyncio.Task[None]] = set()

    async def start(self, listen: Endpoint) -> None:
        """Listens for connections."""
        self._server = await asyncio.start_server(self._accept, listen.ip, listen.port)

    def close(self) -> None:
        """Stops listening and ends all connections."""
        if self._server is not None:
            self._server.close()
        for task in self._tasks:
            task.cancel()

    async def _accept(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        task = asyncio.current_task()
        if task is not None:
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)
        try:
            target_reader, target_writer = await asyncio.open_connection(*self._target)
        except OSError:
            writer.transport.abort()
            return
        directions = (
            self._relay(reader, target_writer, writer),
            self._relay(target_reader, writer, None),
        )
        tasks = [asyncio.create_task(direction) for direction in directions]
        # A cancelled relay cleans up as after the end of a connection.
        with suppress(asyncio.CancelledError):
            await asyncio.wait(tasks, return_when=asyncio.FIRST_COMPLETED)
        for direction in tasks:
            direction.cancel()
        target_writer.transport.abort()
        writer.transport.abort()

    async def _relay(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        caller: asyncio.StreamWriter | None,
    ) -> None:
        """Copies data until the end; data that arrives on a blocked link is never delivered.

        Args:
            reader: Where the data comes from.
            writer: Where it goes.
            caller: Where a refusal goes in place of the data, None in the direction of answers.
        """
        with suppress(ConnectionError):
            while data := await reader.read(READ_CHUNK_BYTES):
                faults = self._link.faults
                if faults.is_blocked:
                    await asyncio.Event().wait()
                if faults.resets_connections:
                    return
                await asyncio.sleep(faults.delay_ms[1] / _MS_PER_S)
                target = writer
                if faults.refuses_calls and caller is not None:
                    target, data = caller, _REFUSAL
                target.write(data)
                await target.drain()
