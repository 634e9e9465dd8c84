"""Links between the processes of a run, and what is wrong with them."""

import asyncio
from contextlib import suppress
from random import Random

from berylstair.ids import Endpoint
from emulator.faults import Faults, Link
from emulator.udp import UdpSocket

__all__ = ['Links', 'PeerRelay', 'StreamRelay']

READ_CHUNK_BYTES = 65536
_MS_PER_S = 1000


class Links:
    """Directed links by the names of their ends."""

    def __init__(self, rng: Random) -> None:
        """Starts with whole links."""
        self._rng = rng
        self._link_by_ends: dict[tuple[str, str], Link] = {}

    def get_link(self, source: str, target: str) -> Link:
        """Returns one direction of a link; it is whole until its faults are set."""
        ends = (source, target)
        if ends not in self._link_by_ends:
            self._link_by_ends[ends] = Link(self._rng)
        return self._link_by_ends[ends]

    def clear_faults(self) -> None:
        """Mends every link."""
        for link in self._link_by_ends.values():
            link.faults = Faults()


class PeerRelay:
    """The address at which the other instances know one instance.

    What arrives here goes on to the instance, from the address at which its
    sender is known, so that instances see each other's shown addresses only.
    """

    def __init__(
        self,
        name: str,
        published: Endpoint,
        actual: Endpoint,
        links: Links,
        relay_by_ip: dict[str, 'PeerRelay'],
    ) -> None:
        """Starts to relay.

        Args:
            name: The instance's.
            shown: Address that the others use.
            real: Where the instance listens.
            links: What is wrong with the links.
            relay_by_ip: All relays by the real address of their instance.
        """
        self.name = name
        self._actual = actual
        self._links = links
        self._relay_by_ip = relay_by_ip
        relay_by_ip[actual.ip] = self
        self._socket = UdpSocket(published, self._handle_datagram)

    def close(self) -> None:
        """Stops to relay."""
        self._socket.close()

    def _handle_datagram(self, data: bytes, source: Endpoint) -> None:
        sender = self._relay_by_ip.get(source.ip)
        if sender is not None:
            link = self._links.get_link(sender.name, self.name)
            link.transmit(lambda: sender.send_as_published(data, self._actual))

    def send_as_published(self, data: bytes, target: Endpoint) -> None:
        """Sends a datagram from the shown address."""
        self._socket.send(data, target)


class StreamRelay:
    """Relays connections to one address, seen as one link."""

    def __init__(self, link: Link, target: Endpoint) -> None:
        """Prepares the relay.

        Args:
            link: What is wrong with the link.
            target: Where connections go on to.
        """
        self._link = link
        self._target = target
        self._server: asyncio.Server | None = None
        self._tasks: set[asyncio.Task[None]] = set()

    async def start(self, listen: Endpoint) -> None:
        """Starts to listen."""
        self._server = await asyncio.start_server(self._accept, listen.ip, listen.port)

    def close(self) -> None:
        """Stops to listen and ends all connections."""
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
        directions = (self._relay(reader, target_writer), self._relay(target_reader, writer))
        tasks = [asyncio.create_task(direction) for direction in directions]
        # A cancelled relay ends like one whose connection has ended.
        with suppress(asyncio.CancelledError):
            await asyncio.wait(tasks, return_when=asyncio.FIRST_COMPLETED)
        for direction in tasks:
            direction.cancel()
        target_writer.transport.abort()
        writer.transport.abort()

    async def _relay(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Copies until the end; what comes while the link is cut is held for good."""
        with suppress(ConnectionError):
            while data := await reader.read(READ_CHUNK_BYTES):
                faults = self._link.faults
                if faults.is_blocked:
                    await asyncio.Event().wait()
                if faults.resets_connections:
                    return
                await asyncio.sleep(faults.delay_ms[1] / _MS_PER_S)
                writer.write(data)
                await writer.drain()
