"""Emulated callers: CoAP requests with retransmission, and opaque downloads."""

import asyncio
from collections.abc import Awaitable
from dataclasses import dataclass
from itertools import count
from random import Random
from typing import Any

from aiocoap import ACK, CON, Message
from aiocoap.numbers.codes import Code

from berylstair.ids import Endpoint, parse_endpoint
from emulator.backend import CHUNK_BYTES
from emulator.udp import UdpSocket

__all__ = ['CoapCaller', 'DownloadResult', 'FlowCaller', 'RequestResult']

ACK_TIMEOUT_S = 0.15
MAX_RETRANSMIT = 4
_RETRANSMISSION_TIMEOUT_S = 0.1
_MAX_SEND_ATTEMPTS = 300
_WINDOW_CHUNKS = 16


@dataclass(frozen=True, slots=True)
class RequestResult:
    """Result of one request.

    Attributes:
        code: Response code, None if no response arrived in time.
        latency_s: Time until the response or the timeout.
    """

    code: Code | None
    payload: bytes
    latency_s: float

    @property
    def is_not_run(self) -> bool:
        """Whether the code is 5.03, which tells the caller that the request was not run."""
        return self.code is Code.SERVICE_UNAVAILABLE

    @property
    def is_success(self) -> bool:
        """Whether the code is a success code."""
        return self.code is not None and self.code.is_successful()


@dataclass(frozen=True, slots=True)
class DownloadResult:
    """Result of an opaque download.

    Attributes:
        content: Bytes received, empty after a reset.
        is_reset: Whether the flow was reset.
        is_complete: Whether all bytes arrived.
    """

    content: bytes
    is_reset: bool
    is_complete: bool


class CoapCaller:
    """A CoAP client on one port, with any number of concurrent requests.

    Attributes:
        unexpected_type_count: Responses that were not piggybacked on an ACK.
    """

    def __init__(self, rng: Random, ack_timeout_s: float = ACK_TIMEOUT_S) -> None:
        """Binds a port on the running event loop."""
        self._rng = rng
        self._ack_timeout_s = ack_timeout_s
        self._tokens = count(rng.randrange(1 << 30))
        self._message_ids = count(rng.randrange(1 << 16))
        self._response_by_exchange: dict[tuple[bytes, int], asyncio.Future[Message]] = {}
        self.unexpected_type_count = 0
        self._socket = UdpSocket(Endpoint('127.0.0.1', 0), self._handle_datagram)

    def close(self) -> None:
        """Closes the port."""
        self._socket.close()

    async def send_request(
        self,
        address: str,
        code: Code,
        path: str,
        payload: bytes = b'',
        timeout_s: float | None = None,
    ) -> RequestResult:
        """Sends a confirmable request and retransmits it until a response arrives.

        Args:
            address: Service address.
            code: Method.
            path: Path with slashes.
            payload: Body.
            timeout_s: Longest wait; if None, the sum of RFC 7252's
                retransmission timeouts.

        Returns:
            The response, or a result without code after the timeout.
        """
        message = Message(
            _mtype=CON,
            _mid=next(self._message_ids) % (1 << 16),
            _token=next(self._tokens).to_bytes(4, 'big'),
            code=code,
            payload=payload,
            uri_path=tuple(path.strip('/').split('/')),
        )
        return await self.send_message(address, message, timeout_s)

    async def send_message(
        self,
        address: str,
        message: Message,
        timeout_s: float | None = None,
    ) -> RequestResult:
        """Sends a given message and retransmits it until a response arrives."""
        loop = asyncio.get_running_loop()
        started_at = loop.time()
        response_future: asyncio.Future[Message] = loop.create_future()
        exchange = (message.token, message.mid)
        self._response_by_exchange[exchange] = response_future
        datagram = message.encode()
        target = parse_endpoint(address)
        retransmission_timeout_s = self._ack_timeout_s * self._rng.uniform(1, 1.5)
        deadline = started_at + timeout_s if timeout_s else None
        response: Message | None = None
        for _ in range(MAX_RETRANSMIT + 1):
            self._socket.send(datagram, target)
            wait_s = (
                min(retransmission_timeout_s, deadline - loop.time())
                if deadline
                else retransmission_timeout_s
            )
            response = await _wait_or_none(response_future, wait_s)
            retransmission_timeout_s *= 2
            if response is not None or (deadline and loop.time() >= deadline):
                break
        self._response_by_exchange.pop(exchange, None)
        latency_s = loop.time() - started_at
        if response is None:
            return RequestResult(None, b'', latency_s)
        return RequestResult(response.code, response.payload, latency_s)

    def _handle_datagram(self, datagram: bytes, source: Endpoint) -> None:
        message = Message.decode(datagram)
        response_future = self._response_by_exchange.get((message.token, message.mid))
        if response_future is None or response_future.done():
            return
        if message.mtype is not ACK:
            self.unexpected_type_count += 1
            return
        response_future.set_result(message)


class FlowCaller:
    """A caller that downloads over an opaque flow."""

    def __init__(self, address: str) -> None:
        """Binds a port on the running event loop."""
        self._target = parse_endpoint(address)
        self._received_datagrams: asyncio.Queue[bytes] = asyncio.Queue()
        self._socket = UdpSocket(
            Endpoint('127.0.0.1', 0), lambda data, _: self._received_datagrams.put_nowait(data)
        )

    def close(self) -> None:
        """Closes the port."""
        self._socket.close()

    async def download(self, name: str, window_pause_s: float = 0.0) -> DownloadResult:
        """Downloads a document chunk by chunk.

        Args:
            name: The document.
            window_pause_s: Pause before each window of chunks, to prolong the
                download.

        Returns:
            The content, and whether the flow was reset or stayed incomplete.
        """
        accepted = await self._send_until_reply(b'O' + name.encode(), b'A')
        if accepted is None:
            return DownloadResult(b'', is_reset=False, is_complete=False)
        size = int.from_bytes(accepted[1:9], 'big')
        chunks: dict[int, bytes] = {}
        for start in range(0, size, CHUNK_BYTES * _WINDOW_CHUNKS):
            await asyncio.sleep(window_pause_s)
            offsets = range(start, min(start + CHUNK_BYTES * _WINDOW_CHUNKS, size), CHUNK_BYTES)
            is_reset = await self._fetch_chunks(list(offsets), chunks)
            if is_reset:
                return DownloadResult(b'', is_reset=True, is_complete=False)
        content = b''.join(chunks[offset] for offset in sorted(chunks))
        return DownloadResult(content, is_reset=False, is_complete=len(content) == size)

    async def _fetch_chunks(self, offsets: list[int], chunks: dict[int, bytes]) -> bool:
        """Fetches a window of chunks; returns True if the flow was reset."""
        for _ in range(_MAX_SEND_ATTEMPTS):
            missing = [offset for offset in offsets if offset not in chunks]
            if not missing:
                return False
            for offset in missing:
                self._socket.send(b'G' + offset.to_bytes(8, 'big'), self._target)
            while any(offset not in chunks for offset in offsets):
                data = await _wait_or_none(
                    self._received_datagrams.get(), _RETRANSMISSION_TIMEOUT_S
                )
                if data is None:
                    break
                if data[:1] == b'R':
                    return True
                if data[:1] == b'D':
                    chunks[int.from_bytes(data[1:9], 'big')] = data[9:]
        return False

    async def _send_until_reply(self, datagram: bytes, expected: bytes) -> bytes | None:
        for _ in range(_MAX_SEND_ATTEMPTS):
            self._socket.send(datagram, self._target)
            data = await _wait_or_none(self._received_datagrams.get(), _RETRANSMISSION_TIMEOUT_S)
            if data is not None and data[:1] == expected:
                return data
        return None


async def _wait_or_none(awaited: Awaitable[Any], timeout_s: float) -> Any:
    """Returns the result, or None after the timeout; a future is not cancelled."""
    shielded = asyncio.shield(awaited) if isinstance(awaited, asyncio.Future) else awaited
    try:
        return await asyncio.wait_for(shielded, max(timeout_s, 0))
    except TimeoutError:
        return None
