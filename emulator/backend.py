"""Emulated backend server: CoAP requests and opaque downloads."""

import asyncio
import hashlib
import time
from collections import Counter
from dataclasses import dataclass, field
from random import Random
from typing import Any

from aiocoap import ACK, CON, NON, Message
from aiocoap.numbers.codes import Code
from aiocoap.optiontypes import BlockOption

from berylstair.errors import DecodeError
from berylstair.ids import Endpoint
from berylstair.proxy import HeaderDecoder, ProxyHeader, Tlv, split_datagram
from emulator.udp import UdpSocket

__all__ = ['BackendConfig', 'EmulatedBackend', 'make_document']

DOCUMENT_BYTES = 1_000_000
BLOCK_SIZE_EXPONENT = 6
BLOCK_BYTES = 1024
CHUNK_BYTES = 1200
_OPEN, _GET, _ACCEPT, _DATA, _RESET = b'O', b'G', b'A', b'D', b'R'


def make_document(name: str, size: int = DOCUMENT_BYTES) -> bytes:
    """Returns the content of a document; every server derives the same bytes from its name."""
    seed = hashlib.sha256(name.encode()).digest()
    return (seed * (size // len(seed) + 1))[:size]


@dataclass(frozen=True, slots=True)
class BackendConfig:
    """Behaviour of one emulated server.

    Attributes:
        services: Names of the services whose packets it accepts.
        slots: Requests that it runs concurrently.
        queue: Requests that may wait for a slot; any further request is
            answered with 5.03.
        long_ms: Mean duration of a request whose path starts with ``long``.
        short_ms: Mean duration of any other request.
        straggler_share: Share of requests that take ``straggler_ms``.
    """

    id: str
    services: tuple[str, ...]
    listen: Endpoint
    slots: int = 3
    queue: int = 3
    short_ms: float = 5.0
    long_ms: float = 100.0
    straggler_share: float = 0.0
    straggler_ms: float = 1000.0
    seed: int = 1


@dataclass(slots=True)
class _PendingRequest:
    """A request that is queued or running."""

    header: ProxyHeader
    message: Message
    source: Endpoint
    deadline: float
    timer: Any = None


@dataclass(slots=True)
class _Counters:
    """Counts since the start or the last ``reset`` command.

    Attributes:
        runs: Requests run, by method, path and body.
        shed_count: Requests answered with 5.03 because the queue was full.
        reset_count: Flow packets answered with a reset, as they had no session.
        wrong_service_count: Packets for a service that this server doesn't have.
        session_count: Flow sessions opened.
        busy_s: Total duration of the requests that finished.
    """

    runs: Counter[str] = field(default_factory=Counter)
    shed_count: int = 0
    reset_count: int = 0
    wrong_service_count: int = 0
    session_count: int = 0
    busy_s: float = 0.0
    started_at: float = field(default_factory=time.monotonic)


class EmulatedBackend:
    """One backend server with slots, a bounded queue and flow sessions."""

    def __init__(self, config: BackendConfig) -> None:
        """Binds the listening socket on the running event loop."""
        self._config = config
        self._header_decoder = HeaderDecoder()
        self._rng = Random(f'{config.seed}/{config.id}')
        self._running_by_attempt: dict[bytes, _PendingRequest] = {}
        self._queue: list[_PendingRequest] = []
        self._document_name_by_caller: dict[Endpoint, str] = {}
        self._seen_attempts: set[bytes] = set()
        self._counters = _Counters()
        self._document_by_name: dict[str, bytes] = {}
        self._socket = UdpSocket(config.listen, self._handle_datagram)

    def report(self) -> dict[str, Any]:
        """Returns the counters in a form that can be written as JSON."""
        counters = self._counters
        return {
            'id': self._config.id,
            'runs': dict(counters.runs),
            'sheds': counters.shed_count,
            'resets': counters.reset_count,
            'foreign': counters.wrong_service_count,
            'sessions': counters.session_count,
            'running': len(self._running_by_attempt),
            'busy_s': counters.busy_s,
            'elapsed_s': time.monotonic() - counters.started_at,
        }

    def reset_counters(self) -> None:
        """Sets the counters to zero."""
        self._counters = _Counters()

    def _handle_datagram(self, datagram: bytes, source: Endpoint) -> None:
        try:
            raw, payload = split_datagram(datagram)
            header = self._header_decoder.decode(raw)
        except DecodeError:
            return
        name = header.tlvs.get(Tlv.SERVICE, b'').decode()
        if name not in self._config.services:
            self._counters.wrong_service_count += 1
            return
        if Tlv.CANCEL in header.tlvs:
            self._cancel(header.tlvs[Tlv.ATTEMPT])
        elif Tlv.ATTEMPT in header.tlvs:
            self._handle_request(header, payload, source)
        else:
            self._handle_flow_packet(header, payload, source)

    def _handle_flow_packet(self, header: ProxyHeader, payload: bytes, source: Endpoint) -> None:
        """Opens a session for a document or returns a chunk; resets a flow without session."""
        if payload[:1] == _OPEN:
            if header.caller not in self._document_name_by_caller:
                self._counters.session_count += 1
            name = payload[1:].decode()
            self._document_name_by_caller[header.caller] = name
            size = len(self._get_document(name))
            response = _ACCEPT + size.to_bytes(8, 'big') + self._config.id.encode()
        elif header.caller in self._document_name_by_caller:
            offset = int.from_bytes(payload[1:9], 'big')
            content = self._get_document(self._document_name_by_caller[header.caller])
            response = _DATA + payload[1:9] + content[offset : offset + CHUNK_BYTES]
        else:
            self._counters.reset_count += 1
            response = _RESET
        self._socket.send(header.raw + response, source)

    def _handle_request(self, header: ProxyHeader, payload: bytes, source: Endpoint) -> None:
        attempt = header.tlvs[Tlv.ATTEMPT]
        if attempt in self._seen_attempts:
            return  # duplicated by the link; RFC 7252, section 4.2: process it only once
        self._seen_attempts.add(attempt)
        message = Message.decode(payload)
        remaining_ms = int.from_bytes(header.tlvs.get(Tlv.DEADLINE_MS, b'\xff\xff'), 'big')
        request = _PendingRequest(header, message, source, time.monotonic() + remaining_ms / 1000)
        if len(self._running_by_attempt) < self._config.slots:
            self._start_request(request)
        elif len(self._queue) < self._config.queue:
            self._queue.append(request)
        else:
            self._counters.shed_count += 1
            self._send_response(request, Code.SERVICE_UNAVAILABLE, b'shed')

    def _start_request(self, request: _PendingRequest) -> None:
        if time.monotonic() >= request.deadline:
            return
        attempt = request.header.tlvs[Tlv.ATTEMPT]
        self._running_by_attempt[attempt] = request
        path = '/'.join(request.message.opt.uri_path)
        body = request.message.payload.decode('utf-8', 'replace')
        self._counters.runs[f'{request.message.code.name} /{path} {body}'] += 1
        duration_s = self._draw_duration_s(path)
        started_at = time.monotonic()
        request.timer = asyncio.get_running_loop().call_later(
            duration_s,
            lambda: self._finish_request(attempt, started_at),
        )

    def _finish_request(self, attempt: bytes, started_at: float) -> None:
        request = self._running_by_attempt.pop(attempt)
        self._counters.busy_s += time.monotonic() - started_at
        self._respond(request)
        self._start_queued()

    def _start_queued(self) -> None:
        while self._queue and len(self._running_by_attempt) < self._config.slots:
            self._start_request(self._queue.pop(0))

    def _cancel(self, attempt: bytes) -> None:
        request = self._running_by_attempt.pop(attempt, None)
        if request is not None:
            request.timer.cancel()
        self._queue = [
            waiting for waiting in self._queue if waiting.header.tlvs[Tlv.ATTEMPT] != attempt
        ]
        self._start_queued()

    def _draw_duration_s(self, path: str) -> float:
        if self._rng.random() < self._config.straggler_share:
            return self._config.straggler_ms / 1000
        is_long = path.startswith('long')
        mean_ms = self._config.long_ms if is_long else self._config.short_ms
        return self._rng.uniform(0.8, 1.2) * mean_ms / 1000

    def _respond(self, request: _PendingRequest) -> None:
        """Sends the response for the method and path of a request."""
        message = request.message
        path = message.opt.uri_path
        if message.code is Code.POST:
            self._send_response(
                request, Code.CREATED, message.payload + b' by ' + self._config.id.encode()
            )
        elif path[:1] == ('maps',):
            self._send_block(request, path[-1])
        else:
            text = f'{"/".join(path)} {message.payload.decode("utf-8", "replace")}'
            self._send_response(request, Code.CONTENT, text.encode())

    def _send_block(self, request: _PendingRequest, name: str) -> None:
        block_option = request.message.opt.block2
        number = block_option.block_number if block_option else 0
        content = self._get_document(name)
        start = number * BLOCK_BYTES
        has_more = start + BLOCK_BYTES < len(content)
        option = BlockOption.BlockwiseTuple(number, has_more, BLOCK_SIZE_EXPONENT)
        self._send_response(request, Code.CONTENT, content[start : start + BLOCK_BYTES], option)

    def _send_response(
        self,
        request: _PendingRequest,
        code: Code,
        payload: bytes,
        block: BlockOption.BlockwiseTuple | None = None,
    ) -> None:
        message = request.message
        response = Message(
            _mtype=ACK if message.mtype is CON else NON,
            _mid=message.mid,
            _token=message.token,
            code=code,
            payload=payload,
        )
        if block is not None:
            response.opt.block2 = block
            response.opt.etag = b'1'
        self._socket.send(request.header.raw + response.encode(), request.source)

    def _get_document(self, name: str) -> bytes:
        if name not in self._document_by_name:
            self._document_by_name[name] = make_document(name)
        return self._document_by_name[name]
