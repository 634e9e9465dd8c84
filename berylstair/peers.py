"""WebSocket connections between instances, carrying CBOR messages."""

import asyncio
import ssl
from collections import defaultdict
from collections.abc import Callable

from websockets.asyncio.client import connect
from websockets.asyncio.connection import Connection
from websockets.asyncio.server import serve
from websockets.exceptions import WebSocketException

from berylstair.catalogue import LogEvent
from berylstair.counter import Counters, Traffic
from berylstair.errors import DecodeError, ErrorKind
from berylstair.event import Event, PeerClosed, PeerMessage, PeerOpened
from berylstair.ids import Endpoint, InstanceId
from berylstair.log import write_event
from berylstair.message import CachingMessageEncoder, Hello, Message, decode_message, encode_message
from berylstair.record import Instance
from berylstair.settings import PeerSecurity, SecurityMode, Settings

__all__ = ['PeerConnections']

REDIAL_INTERVAL_S = 0.25
OPEN_TIMEOUT_S = 2.0
MAX_MESSAGE_BYTES = 4 << 20
MAX_QUEUED_MESSAGES = 10_000

PostEvent = Callable[[Event], None]


class PeerConnections:
    """Connections to the other instances.

    Of two instances, the one with the smaller id dials the other. Seeds are
    dialled by address until an instance list is in force, so two instances may
    share two connections for a while: each sends on the newest open one, and a
    peer counts as disconnected only when its last connection closes.
    """

    def __init__(self, settings: Settings, post_event: PostEvent, counters: Counters) -> None:
        """Sets up the connections; ``start`` opens them.

        Args:
            settings: Endpoints, security and seeds.
            post_event: Receives the events of the connections.
            counters: Counts messages sent and refusals.
        """
        self._settings = settings
        self._own_id = settings.core.instance
        self._post_event = post_event
        self._counters = counters
        self._encoder = CachingMessageEncoder()
        self._instance_by_id: dict[InstanceId, Instance] = {}
        self._outboxes_by_id: dict[InstanceId, list[asyncio.Queue[bytes]]] = defaultdict(list)
        self._dial_task_by_id: dict[InstanceId, asyncio.Task[None]] = {}
        self._seed_tasks: list[asyncio.Task[None]] = []

    async def start(self) -> None:
        """Starts listening and dialling the seeds."""
        listen = self._settings.peer_listen
        await serve(
            self._accept,
            listen.ip,
            listen.port,
            ssl=_server_tls_context(self._settings.peer_security),
            compression=None,
            ping_interval=None,
            max_size=MAX_MESSAGE_BYTES,
        )
        for seed in self._settings.seeds:
            task = asyncio.create_task(self._run_dial_loop(seed, None))
            self._seed_tasks.append(task)

    def apply_instances(self, instances: dict[InstanceId, Instance]) -> None:
        """Dials the listed instances with a greater id; stops dialling all others.

        Args:
            instances: The instance list in force, by id.
        """
        if instances == self._instance_by_id:
            return
        self._instance_by_id = dict(instances)
        for seed_task in self._seed_tasks:
            seed_task.cancel()
        for peer_id, task in list(self._dial_task_by_id.items()):
            if peer_id not in instances:
                self._dial_task_by_id.pop(peer_id)
                task.cancel()
        for peer_id, instance in instances.items():
            if self._own_id < peer_id and peer_id not in self._dial_task_by_id:
                dial_loop = self._run_dial_loop(instance.peer, peer_id)
                self._dial_task_by_id[peer_id] = asyncio.create_task(dial_loop)

    def send(self, peer: InstanceId, message: Message) -> None:
        """Queues a message; drops it if the peer is not connected or its queue is full."""
        outboxes = self._outboxes_by_id[peer]
        if outboxes and outboxes[-1].qsize() < MAX_QUEUED_MESSAGES:
            data = self._encoder.encode(message)
            self._counters.record_traffic(Traffic.CONTROL_MESSAGES)
            self._counters.record_traffic(Traffic.CONTROL_BYTES, len(data))
            outboxes[-1].put_nowait(data)

    async def run_connection(self, connection: Connection, expected_id: InstanceId | None) -> None:
        """Exchanges Hello messages, then carries messages until the connection closes."""
        core = self._settings.core
        hello = Hello(core.instance, core.incarnation, core.zone)
        await connection.send(encode_message(hello))
        peer_id = await self._receive_hello(connection, expected_id)
        if peer_id is None:
            return
        outbox: asyncio.Queue[bytes] = asyncio.Queue()
        self._outboxes_by_id[peer_id].append(outbox)
        writer = asyncio.create_task(_write_messages(connection, outbox))
        self._post_event(PeerOpened(peer_id))
        try:
            await self._read_messages(connection, peer_id)
        finally:
            writer.cancel()
            self._outboxes_by_id[peer_id].remove(outbox)
            if not self._outboxes_by_id[peer_id]:
                self._post_event(PeerClosed(peer_id))

    async def _run_dial_loop(self, endpoint: Endpoint, expected_id: InstanceId | None) -> None:
        while True:
            try:
                await self._dial(endpoint, expected_id)
            except (OSError, WebSocketException, TimeoutError, ssl.SSLError):
                pass  # noqa: WPS420 dialled again after REDIAL_INTERVAL_S
            await asyncio.sleep(REDIAL_INTERVAL_S)

    async def _dial(self, endpoint: Endpoint, expected_id: InstanceId | None) -> None:
        target = self._settings.address_map.get(endpoint, endpoint)
        tls = _client_tls_context(self._settings.peer_security)
        scheme = 'wss' if tls else 'ws'
        async with connect(
            f'{scheme}://{target}',
            ssl=tls,
            compression=None,
            ping_interval=None,
            max_size=MAX_MESSAGE_BYTES,
            open_timeout=OPEN_TIMEOUT_S,
            close_timeout=REDIAL_INTERVAL_S,
            proxy=None,
        ) as connection:
            await self.run_connection(connection, expected_id)

    async def _accept(self, connection: Connection) -> None:
        await self.run_connection(connection, None)

    async def _receive_hello(
        self,
        connection: Connection,
        expected_id: InstanceId | None,
    ) -> InstanceId | None:
        """Returns the peer's id, or None if no valid Hello of an authorized peer came."""
        try:
            async with asyncio.timeout(OPEN_TIMEOUT_S):
                first = await connection.recv()
            hello = decode_message(first if isinstance(first, bytes) else b'')
        except DecodeError:
            self._counters.record_refusal(ErrorKind.MALFORMED_MESSAGE)
            return None
        except (TimeoutError, WebSocketException):
            return None
        if not isinstance(hello, Hello) or not self._is_authorized(hello, expected_id, connection):
            self._counters.record_refusal(ErrorKind.UNKNOWN_SENDER)
            write_event(LogEvent.PEER_REFUSED, f'from={connection.remote_address}')
            return None
        return InstanceId(hello.instance)

    def _is_authorized(
        self,
        hello: Hello,
        expected_id: InstanceId | None,
        connection: Connection,
    ) -> bool:
        peer_id = InstanceId(hello.instance)
        if peer_id == self._own_id or (expected_id is not None and peer_id != expected_id):
            return False
        if self._instance_by_id and peer_id not in self._instance_by_id:
            return False
        if self._settings.peer_security.mode is SecurityMode.PLAINTEXT:
            return True
        certificate = connection.transport.get_extra_info('peercert') or {}
        return ('DNS', peer_id) in certificate.get('subjectAltName', ())

    async def _read_messages(self, connection: Connection, peer_id: InstanceId) -> None:
        try:
            async for data in connection:
                self._handle_message(peer_id, data)
        except (WebSocketException, OSError):
            return

    def _handle_message(self, peer_id: InstanceId, data: bytes | str) -> None:
        try:
            message = decode_message(data if isinstance(data, bytes) else b'')
        except DecodeError as error:
            self._counters.record_refusal(ErrorKind.MALFORMED_MESSAGE)
            write_event(LogEvent.MESSAGE_REFUSED, f'peer={peer_id} {error}')
            return
        self._post_event(PeerMessage(peer_id, message))


async def _write_messages(connection: Connection, outbox: 'asyncio.Queue[bytes]') -> None:
    while True:
        data = await outbox.get()
        try:
            await connection.send(data)
        except (WebSocketException, OSError):
            return


def _server_tls_context(security: PeerSecurity) -> ssl.SSLContext | None:
    return _tls_context(security, ssl.Purpose.CLIENT_AUTH)


def _client_tls_context(security: PeerSecurity) -> ssl.SSLContext | None:
    return _tls_context(security, ssl.Purpose.SERVER_AUTH)


def _tls_context(security: PeerSecurity, purpose: ssl.Purpose) -> ssl.SSLContext | None:
    """Returns a context that requires a certificate from the peer.

    The certificate has to name the instance, not its address, so the host
    name check is replaced by the check in ``_is_authorized``.
    """
    if security.mode is SecurityMode.PLAINTEXT:
        return None
    context = ssl.create_default_context(purpose, cafile=security.authority)
    context.load_cert_chain(security.certificate, security.key)
    context.check_hostname = False
    context.verify_mode = ssl.CERT_REQUIRED
    return context
