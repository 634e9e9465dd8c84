"""Stand-ins of the users' platform, written from their pages, for the scripts in review/.

Everything runs on one asyncio loop: the store, the routers, backend servers and clients.
The instances are the project's own program, started as separate processes with the command
of the deploy file. Only loopback addresses are used; every machine has one of its own.
"""

import asyncio
import base64
import json
import os
import random
import shlex
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import time
import tomllib
import zlib
from collections.abc import Callable
from pathlib import Path
from typing import Any
from urllib.parse import parse_qsl

ROOT = Path(__file__).resolve().parents[2]
HEADER = struct.Struct('<HB5xIHIHIIII')
SYN, RST, FIN, BOUNCED, ACK = 2, 4, 16, 64, 128
HEARTBEAT_S = 1.2
SYN_SENT_AFTER_S = (0.0, 0.2, 0.6)
OPEN_TIMEOUT_S = 1.4
FIRST_RETRY_S, LAST_RETRY_S, MAX_RETRIES = 0.2, 1.6, 8
RESET_WINDOW = 76_800
# The bounds of the small site carril-heats.
BOUNDS = {
    'seed_lag_s': 3,
    'reuse_after_s': 2,
    'stable_window_ms': 4000,
    'ack_ms': 5000,
    'catch_up_s': 4,
    'drain_ms': 3000,
    'grace_s': 6,
    'loss_slack_ms': 200,
    'config_apply_ms': 3000,
    'rollback_slack_ms': 250,
    'max_skew_ms': 12000,
    'recover_s': 12,
    'flow_ms': 2000,
    'max_flow_s': 60,
}
ZONES = ('cuenca-a', 'cuenca-b', 'quito-c')
_SUM_KEY = os.urandom(8)

Flow = tuple[str, int, str, int]


class CannotRun(Exception):
    """The case could not be played (exit status 2)."""


class Record:
    """Everything that clients, servers and the operator saw, for ``record.txt``."""

    def __init__(self) -> None:
        self.start = time.monotonic()
        self.lines: list[str] = []

    def now(self) -> float:
        return time.monotonic() - self.start

    def write(self, text: str) -> None:
        self.lines.append(f'{self.now():9.4f} {text}')

    def save(self, folder: Path) -> None:
        (folder / 'record.txt').write_text('\n'.join(self.lines) + '\n', encoding='utf-8')


def _checksum(
    flags: int, src: int, sport: int, dst: int, dport: int, seq: int, ack: int, data: bytes
) -> int:
    fields = struct.pack('<BIHIHII', flags & ~BOUNCED, src, sport, dst, dport, seq, ack)
    return zlib.crc32(_SUM_KEY + fields + data) or 1


class Packet:
    """One packet of a flow; ``src`` and ``dst`` are texts."""

    def __init__(
        self,
        flags: int,
        src: str,
        sport: int,
        dst: str,
        dport: int,
        seq: int,
        ack: int,
        echo: int,
        data: bytes = b'',
    ) -> None:
        self.flags, self.src, self.sport, self.dst, self.dport = flags, src, sport, dst, dport
        self.seq, self.ack, self.echo, self.data = seq, ack, echo, data
        self.checksum = 0

    def pack(self, checksum: int | None = None) -> bytes:
        src, dst = _number(self.src), _number(self.dst)
        if checksum is None:
            checksum = _checksum(
                self.flags, src, self.sport, dst, self.dport, self.seq, self.ack, self.data
            )
        head = HEADER.pack(
            len(self.data),
            self.flags,
            dst,
            self.dport,
            src,
            self.sport,
            checksum,
            self.seq,
            self.ack,
            self.echo,
        )
        return head + self.data

    @classmethod
    def unpack(cls, raw: bytes) -> 'Packet':
        length, flags, dst, dport, src, sport, checksum, seq, ack, echo = HEADER.unpack_from(raw)
        packet = cls(
            flags,
            _text(src),
            sport,
            _text(dst),
            dport,
            seq,
            ack,
            echo,
            raw[HEADER.size : HEADER.size + length],
        )
        packet.checksum = checksum
        return packet

    @property
    def is_genuine(self) -> bool:
        """Whether the sum is the one that its sender wrote."""
        return self.checksum == _checksum(
            self.flags,
            _number(self.src),
            self.sport,
            _number(self.dst),
            self.dport,
            self.seq,
            self.ack,
            self.data,
        )


def _number(ip: str) -> int:
    return int.from_bytes(socket.inet_aton(ip), 'big')


def _text(number: int) -> str:
    return socket.inet_ntoa(number.to_bytes(4, 'big'))


class _Datagrams(asyncio.DatagramProtocol):
    def __init__(self, handle: Callable[[bytes, str], None]) -> None:
        self._handle = handle

    def datagram_received(self, data: bytes, addr: Any) -> None:
        self._handle(data, addr[0])

    def error_received(self, _error: OSError) -> None:
        """Datagrams to a machine without power are lost."""


async def open_datagrams(
    ip: str, port: int, handle: Callable[[bytes, str], None]
) -> asyncio.DatagramTransport:
    loop = asyncio.get_running_loop()
    transport, _ = await loop.create_datagram_endpoint(
        lambda: _Datagrams(handle), local_addr=(ip, port)
    )
    return transport


class Store:
    """The platform's store: linearizable reads, watches and a history."""

    def __init__(self, record: Record) -> None:
        self.record = record
        self.revision = 1
        self.items: dict[str, dict[str, Any]] = {}
        self.events: list[dict[str, Any]] = []
        self._changed = asyncio.Event()
        self._server: asyncio.Server | None = None
        self.address = ('', 0)

    async def start(self, ip: str) -> None:
        self._server = await asyncio.start_server(self._serve, ip, 0)
        self.address = self._server.sockets[0].getsockname()[:2]

    def put(self, key: str, value: Any) -> None:
        """Writes an item; the return of this call is the store's confirmation."""
        data = value if isinstance(value, bytes) else json.dumps(value).encode()
        self.revision += 1
        item = {
            'key': key,
            'value': base64.b64encode(data).decode(),
            'rev': self.revision,
            'create_rev': self.items.get(key, {}).get('create_rev', self.revision),
            'lease': 0,
        }
        self.items[key] = item
        self._add_event(item)
        self.record.write(f'store: {key} written at revision {self.revision}: {data[:160]!r}')

    def remove(self, key: str) -> None:
        self.revision += 1
        self.items.pop(key, None)
        self._add_event({'key': key, 'rev': self.revision, 'tombstone': True})
        self.record.write(f'store: {key} removed at revision {self.revision}')

    def _add_event(self, event: dict[str, Any]) -> None:
        self.events.append(event)
        changed, self._changed = self._changed, asyncio.Event()
        changed.set()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while True:
                head = (await reader.readuntil(b'\r\n\r\n')).decode()
                target = head.split(' ')[1]
                path, _, text = target.partition('?')
                query = dict(parse_qsl(text, keep_blank_values=True))
                status, body = await self._answer(path, query)
                data = json.dumps(body).encode()
                writer.write(
                    f'HTTP/1.1 {status} X\r\nContent-Type: application/json\r\n'
                    f'Store-Era: 1\r\nContent-Length: {len(data)}\r\n\r\n'.encode()
                    + data
                )
                await writer.drain()
        except (OSError, EOFError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    async def _answer(self, path: str, query: dict[str, str]) -> tuple[int, dict[str, Any]]:
        prefix, after = query.get('prefix', ''), query.get('after', '')
        if path == '/berylstair/kv-range':
            keys = [key for key in sorted(self.items) if key.startswith(prefix) and key > after]
            items = [self.items[key] for key in keys[:500]]
            return 200, {
                'items': items,
                'has_more': len(keys) > 500,
                'store_revision': self.revision,
            }
        if path == '/berylstair/kv-key':
            item = self.items.get(query.get('key', ''))
            return (200, item | {'store_revision': self.revision}) if item else (404, {})
        if path != '/berylstair/kv-watch':
            return 404, {}
        until = time.monotonic() + int(query.get('wait_ms', 0)) / 1000
        while True:
            revision = int(after or 0)
            events = [
                event
                for event in self.events
                if event['rev'] > revision and event['key'].startswith(prefix)
            ]
            left_s = until - time.monotonic()
            if events or left_s <= 0:
                return 200, {'events': events, 'store_revision': self.revision}
            try:
                await asyncio.wait_for(self._changed.wait(), left_s)
            except TimeoutError:
                pass


class TcpLink:
    """A proxy in front of the store for one machine, which can silence the open connections."""

    def __init__(self, record: Record, name: str, delay: Callable[[], float]) -> None:
        self.record, self.name = record, name
        self._delay = delay
        self.address = ('', 0)
        self.last_call_at = 0.0
        self._target = ('', 0)
        self._generation = 0
        self._is_turned_away = False

    async def start(self, ip: str, target: tuple[str, int]) -> None:
        self._target = target
        server = await asyncio.start_server(self._serve, ip, 0)
        self.address = server.sockets[0].getsockname()[:2]

    def silence_open_connections(self) -> None:
        """Connections that are open now carry nothing any more; new ones work."""
        self._generation += 1
        self.record.write(f'link of {self.name} to the store: the open connections go silent')

    def turn_away(self, is_turned_away: bool) -> None:
        """Makes the store answer every call of this machine with 503, or serve it again."""
        self._is_turned_away = is_turned_away
        self.record.write(
            f'store: {"turns away" if is_turned_away else "serves again"} {self.name}'
        )

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        generation = self._generation
        try:
            far_reader, far_writer = await asyncio.open_connection(*self._target)
        except OSError:
            writer.close()
            return
        try:
            await asyncio.gather(
                self._pump(reader, far_writer, generation, writer),
                self._pump(far_reader, writer, generation),
            )
        finally:
            writer.transport.abort()
            far_writer.transport.abort()

    async def _pump(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        generation: int,
        near: asyncio.StreamWriter | None = None,
    ) -> None:
        try:
            while data := await reader.read(65536):
                self.last_call_at = time.monotonic()
                await asyncio.sleep(self._delay())
                if near is not None and self._is_turned_away:
                    near.write(b'HTTP/1.1 503 X\r\nStore-Era: 1\r\nContent-Length: 2\r\n\r\n{}')
                elif generation == self._generation and not self._is_turned_away:
                    writer.write(data)
        except (OSError, asyncio.CancelledError):
            pass
        finally:
            if generation == self._generation:
                writer.close()
            else:
                # A silent connection is not closed towards the other end either.
                await asyncio.sleep(3600)


class Switch:
    """The network between the instances, which can delay the packets at one machine's link.

    Every machine is known to the others by an address of the switch, so that all their
    packets and connections pass through it.
    """

    def __init__(self, world: 'World') -> None:
        self.world = world
        self._out_by_ip: dict[str, asyncio.DatagramTransport] = {}

    async def start(self) -> None:
        for instance in self.world.instances:
            alias = instance.alias
            self._out_by_ip[alias] = await open_datagrams(
                alias,
                self.world.inner_port,
                lambda data, sender, target=instance: self._pass_on(data, sender, target),
            )
            await asyncio.start_server(
                lambda reader, writer, target=instance: self._connect(reader, writer, target),
                alias,
                self.world.inner_port,
            )

    def _pass_on(self, data: bytes, sender_ip: str, target: 'Instance') -> None:
        sender = next(
            (instance for instance in self.world.instances if instance.ip == sender_ip), None
        )
        if sender is not None:
            asyncio.get_running_loop().call_later(
                sender.delay_s + target.delay_s,
                self._out_by_ip[sender.alias].sendto,
                data,
                (target.ip, self.world.inner_port),
            )

    async def _connect(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, target: 'Instance'
    ) -> None:
        sender_ip = writer.get_extra_info('peername')[0]
        ends = [
            target,
            *(instance for instance in self.world.instances if instance.ip == sender_ip),
        ]
        try:
            far_reader, far_writer = await asyncio.open_connection(target.ip, self.world.inner_port)
        except OSError:
            writer.transport.abort()
            return
        try:
            await asyncio.gather(
                self._pump(reader, far_writer, ends), self._pump(far_reader, writer, ends)
            )
        finally:
            writer.close()
            far_writer.close()

    async def _pump(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, ends: list['Instance']
    ) -> None:
        try:
            while data := await reader.read(65536):
                await asyncio.sleep(sum(end.delay_s for end in ends))
                writer.write(data)
            writer.close()
        except OSError:
            pass


class Server:
    """A backend server: takes packets at its address and answers clients directly."""

    def __init__(self, world: 'World', number: int, service: str, zone: str) -> None:
        self.world = world
        self.id = f'i-{0x7F3A9100 + number:08x}'
        self.service, self.zone = service, zone
        self.ip = f'127.{world.net}.20.{number + 1}'
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.state = 'ready'
        self.work_s = 0.04
        self.flows: dict[Flow, dict[str, Any]] = {}
        self._out: asyncio.DatagramTransport | None = None

    async def start(self) -> None:
        self._out = await open_datagrams(self.ip, self.world.server_port, self._receive)
        self.report()
        self.reporting = asyncio.create_task(self.keep_reporting())

    async def keep_reporting(self) -> None:
        """Writes the entry again at an interval; the store's item changes only with its content."""
        while True:
            await asyncio.sleep(HEARTBEAT_S)
            self.sequence += 1
            if self.state == 'gone':
                return
            item = self.world.store.items.get(f'servers/{self.id}')
            held = json.loads(base64.b64decode(item['value'])) if item else {}
            own = self.make_entry()
            if held | {'seq': 0} != own | {'seq': 0}:
                self.world.store.put(f'servers/{self.id}', own)

    def report(self, state: str | None = None) -> None:
        """Writes the server's entry; the store's answer confirms it."""
        self.state = state or self.state
        self.sequence += 1
        self.world.store.put(f'servers/{self.id}', self.make_entry())

    def make_entry(self) -> dict[str, Any]:
        return {
            'service': self.service,
            'address': f'{self.ip}:{self.world.server_port}',
            'zone': self.zone,
            'version': 'v1',
            'slots': 3,
            'state': self.state,
            'cold_left_ms': 0,
            'seq': self.sequence,
            'born': self.born,
        }

    def _receive(self, datagram: bytes, sender_ip: str) -> None:
        if self.world.is_lost(self.world.zone_of(sender_ip), self.zone):
            return
        number = int.from_bytes(datagram[:8], 'big')
        if number not in {0, int(self.id[2:], 16)}:
            return
        packet = Packet.unpack(datagram[8:])
        key = (packet.src, packet.sport, packet.dst, packet.dport)
        if packet.flags & SYN and packet.flags & ACK or not packet.is_genuine:
            self.world.saw('forged', self, key, packet)
            return
        flow = self.flows.get(key)
        if packet.flags & SYN:
            if flow is None:
                flow = {
                    'seq': random.randrange(1 << 32),
                    'echo': packet.echo,
                    'open': False,
                    'ack': packet.seq + 1,
                    'out': [],
                    'tries': 0,
                }
                self.flows[key] = flow
                self.world.saw('syn', self, key, packet)
                self._transmit_opening(key, flow)
            else:
                flow['echo'] = packet.echo
                if not flow['open']:
                    self._send(key, flow, SYN | ACK, flow['seq'], flow['ack'])
            return
        if flow is None:
            self._refuse(key, packet)
            return
        flow['echo'] = packet.echo
        if not flow['open']:
            # The flow opens at the server whose number the client acknowledges.
            if packet.ack != (flow['seq'] + 1) % (1 << 32):
                self._refuse(key, packet)
                return
            flow['open'] = True
            flow['next'] = flow['ack']
            flow['sent'] = (flow['seq'] + 1) % (1 << 32)
            self.world.saw('open', self, key, packet)
        self.world.saw('packet', self, key, packet)
        self._handle_open(key, flow, packet)

    def _handle_open(self, key: Flow, flow: dict[str, Any], packet: Packet) -> None:
        if packet.flags & RST:
            self.flows.pop(key, None)
            return
        if packet.ack == flow['sent']:
            flow['out'] = []
        if packet.data and packet.seq == flow['next']:
            flow['next'] += len(packet.data)
            request = packet.data.decode(errors='replace')
            self.world.saw('run', self, key, packet)
            asyncio.get_running_loop().call_later(self.work_s, self._respond, key, flow, request)
        elif packet.data:
            self._send(key, flow, ACK, flow['sent'], flow['next'])
        if packet.flags & FIN:
            self._send(key, flow, ACK, flow['sent'], flow['next'] + 1)

    def _respond(self, key: Flow, flow: dict[str, Any], request: str) -> None:
        request_id = request.partition('X-Berylstair-Request-Id: ')[2].partition('\r\n')[0]
        body = f'done {request_id} by {self.id}'
        data = (
            f'HTTP/1.1 200 OK\r\nX-Berylstair-Request-Id: {request_id}\r\n'
            f'X-Berylstair-Response-Signature: {zlib.crc32(body.encode()):08x}\r\n'
            f'Content-Length: {len(body)}\r\n\r\n{body}'
        ).encode()
        position = flow['sent']
        flow['sent'] = (position + len(data)) % (1 << 32)
        flow['out'] = [data]
        self._transmit(key, flow, data, position, 0)

    def _transmit(
        self, key: Flow, flow: dict[str, Any], data: bytes, position: int, tries: int
    ) -> None:
        if flow['out'] != [data] or self.flows.get(key) is not flow or tries > MAX_RETRIES:
            return
        self._send(key, flow, ACK, position, flow['next'], data)
        wait_s = min(FIRST_RETRY_S * 2**tries, LAST_RETRY_S)
        asyncio.get_running_loop().call_later(
            wait_s, self._transmit, key, flow, data, position, tries + 1
        )

    def _transmit_opening(self, key: Flow, flow: dict[str, Any]) -> None:
        """Sends the SYN+ACK; like any packet that is not acknowledged, it is sent again."""
        if flow['open'] or self.flows.get(key) is not flow:
            return
        if flow['tries'] > MAX_RETRIES:
            self.flows.pop(key, None)
            return
        self._send(key, flow, SYN | ACK, flow['seq'], flow['ack'])
        wait_s = min(FIRST_RETRY_S * 2 ** flow['tries'], LAST_RETRY_S)
        flow['tries'] += 1
        asyncio.get_running_loop().call_later(wait_s, self._transmit_opening, key, flow)

    def _refuse(self, key: Flow, packet: Packet) -> None:
        """Answers a packet of a flow that is not held here with a reset."""
        if packet.flags & RST:
            return
        self.world.saw('foreign', self, key, packet)
        self._send(key, {'echo': packet.echo}, RST, packet.ack, packet.seq)

    def _send(
        self, key: Flow, flow: dict[str, Any], flags: int, seq: int, ack: int, data: bytes = b''
    ) -> None:
        caller, caller_port, address, port = key
        packet = Packet(
            flags,
            address,
            port,
            caller,
            caller_port,
            seq % (1 << 32),
            ack % (1 << 32),
            flow['echo'],
            data,
        )
        self.world.send_to_client(self, packet)


class ClientFlow:
    """One flow of a client, with one request after the other."""

    def __init__(
        self, world: 'World', zone: str, ip: str, port: int, address: tuple[str, int]
    ) -> None:
        self.world, self.zone = world, zone
        self.key: Flow = (ip, port, *address)
        self.seq = random.randrange(1 << 31)
        self.ack = 0
        self.echo = 0
        self.server_id = ''
        self.reset_by = ''
        self.opened_at: float | None = None
        self.state = 'new'
        self._event = asyncio.Event()
        self._response = b''

    async def open(self) -> str:
        """Opens the flow; returns ``open``, ``reset`` or ``timeout``."""
        self.state = 'opening'
        start = time.monotonic()
        for count, at_s in enumerate(SYN_SENT_AFTER_S):
            if await self._wait(start + at_s - time.monotonic()):
                break
            self._send(SYN, self.seq, count, echo=0)
        else:
            await self._wait(start + OPEN_TIMEOUT_S - time.monotonic())
        if self.state == 'opening':
            self.state = 'timeout'
        return self.state

    async def request(self, method: str, path: str, deadline_s: float) -> str:
        """Sends a request on the open flow; returns ``ok``, ``reset``, ``wrong`` or ``timeout``."""
        request_id = f'{random.randrange(1 << 64):016x}'
        self.world.sent_ids.add(request_id)
        data = f'{method} {path} HTTP/1.1\r\nX-Berylstair-Request-Id: {request_id}\r\n\r\n'.encode()
        self._response = b''
        self._event.clear()
        until = time.monotonic() + deadline_s
        position, wait_s = self.seq, FIRST_RETRY_S
        self.seq += len(data)
        while time.monotonic() < until and self.state == 'open':
            self._send(ACK, position, self.ack, data=data)
            if await self._wait(min(wait_s, until - time.monotonic())):
                break
            wait_s = min(wait_s * 2, LAST_RETRY_S)
        if self.state != 'open':
            return self.state
        if not self._response:
            return 'timeout'
        return 'ok' if f'done {request_id} by'.encode() in self._response else 'wrong'

    def close(self) -> None:
        if self.state == 'open':
            self._send(ACK | FIN, self.seq, self.ack)
        self.state = 'closed'
        self.world.clients.pop(self.key[:2], None)

    def receive(self, server: Server | None, packet: Packet) -> None:
        """Takes a packet from a server, or from the system if ``server`` is None."""
        if self.state not in {'opening', 'open'}:
            return
        if packet.flags & RST and not packet.data and packet.checksum == 0:
            near = (packet.seq - self.ack + RESET_WINDOW) % (1 << 32) <= 2 * RESET_WINDOW
            if self.state == 'opening' or near:
                self._end('reset', 'the system')
            return
        if not packet.is_genuine:
            self.world.record.write(f'client {self.key}: a packet that its sender did not write so')
            self.world.broken.append(f'MIXED forged packet to {self.key}')
            return
        # Both ends place the last echo that they received on the flow in their own packets.
        self.echo = packet.echo
        if packet.flags & RST:
            self._end('reset', server.id if server else '?')
        elif packet.flags & SYN:
            if self.state == 'opening':
                self.state, self.opened_at = 'open', time.monotonic()
                self.server_id = server.id if server else ''
                self.seq += 1
                self.ack = (packet.seq + 1) % (1 << 32)
                self._send(ACK, self.seq, self.ack)
                self._event.set()
        elif packet.data and packet.seq == self.ack:
            self.ack = (self.ack + len(packet.data)) % (1 << 32)
            self._response = packet.data
            self._send(ACK, self.seq, self.ack)
            self._event.set()
        elif packet.data:
            self._send(ACK, self.seq, self.ack)

    def _end(self, state: str, sender: str) -> None:
        self.reset_by = sender
        self.world.client_reset(self, sender)
        self.state = state
        self._event.set()

    async def _wait(self, seconds: float) -> bool:
        if seconds > 0:
            try:
                await asyncio.wait_for(self._event.wait(), seconds)
            except TimeoutError:
                pass
        is_set = self._event.is_set()
        self._event.clear()
        return is_set

    def _send(
        self, flags: int, seq: int, ack: int, echo: int | None = None, data: bytes = b''
    ) -> None:
        ip, port, address, address_port = self.key
        packet = Packet(
            flags,
            ip,
            port,
            address,
            address_port,
            seq % (1 << 32),
            ack,
            self.echo if echo is None else echo,
            data,
        )
        self.world.send_to_instance(self, packet)


class Instance:
    """One machine of the system with its process."""

    def __init__(self, world: 'World', number: int, zone: str) -> None:
        self.world, self.zone = world, zone
        self.name = f'front-{zone}-{number + 1}'
        self.ip = f'127.{world.net}.10.{number + 1}'
        self.process: subprocess.Popen[bytes] | None = None
        # Time that each packet waits at this machine's link, in each direction.
        self.delay_s = 0.0
        self.alias = f'127.{world.net}.50.{number + 1}'
        self.link = TcpLink(world.record, self.name, lambda: self.delay_s)
        self.in_rotation = False
        self.misses = 2
        self.restarts = False

    def settings(self) -> dict[str, Any]:
        world = self.world
        return {
            'node_id': self.name,
            'role': 'entry',
            'class': 'front',
            'serves': ['front', 'control'],
            'ip': self.ip,
            'zone': self.zone,
            'region': 'ec-sierra',
            'zones': dict.fromkeys(ZONES, 'ec-sierra'),
            'listen': {
                'datagram_addr': f'{self.ip}:{world.packet_port}',
                'ready': f'{self.ip}:{world.ready_port}',
                'control': f'{self.ip}:{world.control_port}',
            },
            'internal_ports': [world.inner_port, world.inner_port + 5],
            'seeds': [
                f'{instance.alias if world.switch else instance.ip}:{world.control_port}'
                for instance in world.instances[:3]
            ],
            'bootstrap': True,
            'count_loss': False,
            'limits': {
                'cpu_share': 0.537,
                'cores': 2,
                'memory_mb': 300,
                'max_fds': 4100,
                'link_mbps': 1000.0,
                'disk_mb': 0,
            },
            'data_dir': None,
            'discovery': 'platform',
            'entry': 'announce',
            'heartbeat_ms': int(HEARTBEAT_S * 1000),
            'contracts': ['base', 'drain', 'config', 'cost', 'recover', 'flows', 'platform'],
            'tolerate': {'machines': 2, 'zones': 1, 'regions': 0},
            'bounds': BOUNDS,
            'hash': 'mod',
            'encap': 'echo',
            'platform': {
                'address': '{}:{}'.format(*self.link.address),
                'encap': 'read',
                'writes_per_s': 400,
                'reads_per_s': 2000,
                'history_s': 20,
                'value_bytes': 1048576,
                'ttl_min_ms': 1000,
            },
        }

    def start(self) -> None:
        path = self.world.folder / f'{self.name}.json'
        path.write_text(json.dumps(self.settings()), encoding='utf-8')
        kept = {name: os.environ[name] for name in ('PATH', 'HOME', 'LANG') if name in os.environ}
        environment = kept | {
            'BERYLSTAIR_NODE_FILE': str(path),
            'PYTHONPATH': str(ROOT / 'target/deps'),
            'PYTHONDONTWRITEBYTECODE': '1',
        }
        with (self.world.folder / f'{self.name}.log').open('ab') as log:
            self.process = subprocess.Popen(
                self.world.command, cwd=ROOT, env=environment, stdout=log, stderr=log
            )
        self.world.record.write(f'{self.name}: process {self.process.pid} started')

    def signal(self, number: signal.Signals) -> None:
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(number)
            self.world.record.write(f'{self.name}: {number.name}')

    async def is_ready(self) -> bool:
        try:
            return await asyncio.wait_for(self._ask_ready(), 0.4)
        except (OSError, TimeoutError, EOFError):
            return False

    async def _ask_ready(self) -> bool:
        await asyncio.sleep(2 * self.delay_s)
        reader, writer = await asyncio.open_connection(self.ip, self.world.ready_port)
        try:
            writer.write(b'GET /berylstair/ready HTTP/1.1\r\nHost: x\r\n\r\n')
            return b' 200 ' in await reader.readline()
        finally:
            writer.close()

    async def keep_checking(self) -> None:
        """Checks readiness twice per second; two misses take the node out of rotation."""
        while True:
            ready = await self.is_ready()
            self.misses = 0 if ready else self.misses + 1
            before, self.in_rotation = (
                self.in_rotation,
                ready or (self.in_rotation and self.misses < 2),
            )
            if before != self.in_rotation:
                self.world.record.write(
                    f'{self.name}: {"in" if self.in_rotation else "out of"} rotation'
                )
            await asyncio.sleep(0.5)

    def log_text(self) -> str:
        path = self.world.folder / f'{self.name}.log'
        return path.read_text(encoding='utf-8', errors='replace') if path.exists() else ''


class World:
    """A small deployment: store, routers, instances, servers and clients."""

    def __init__(self, folder: Path, record: Record) -> None:
        self.switch: Switch | None = None
        self.folder, self.record = folder, record
        # Keeps runs at the same time apart.
        self.net, self._net_lock = _reserve_net()
        ports = _find_free_ports(7)
        self.packet_port, self.ready_port, self.control_port, self.server_port = ports[:4]
        self.inner_port = ports[4]
        self.command = _deploy_command()
        self.store = Store(record)
        self.instances: list[Instance] = []
        self.servers: list[Server] = []
        self.server_by_id: dict[str, Server] = {}
        self.clients: dict[tuple[str, int], ClientFlow] = {}
        self.sent_ids: set[str] = set()
        self.broken: list[str] = []
        self.observers: list[Callable[[str, Server, Flow, Packet], None]] = []
        self.syn_instance: dict[Flow, str] = {}
        self._client_sockets: dict[str, asyncio.DatagramTransport] = {}
        self._next_port = 40000
        self._tasks: list[asyncio.Task[None]] = []
        self.version = 0
        # Zone whose links to the other zones lose packets now, and their share.
        self.lossy_zone = ''
        self.loss_share = 0.0
        self.lost_count = 0

    async def start(
        self,
        instances_per_zone: tuple[int, ...],
        servers: int,
        services: tuple[str, ...],
        has_switch: bool = False,
    ) -> None:
        await self.store.start(f'127.{self.net}.1.1')
        for zone in ZONES:
            ip = self._client_ip(zone)
            self._client_sockets[ip] = await open_datagrams(
                ip, self.packet_port, self._receive_at_client
            )
        number = 0
        for zone, count in zip(ZONES, instances_per_zone, strict=True):
            for _ in range(count):
                self.instances.append(Instance(self, number, zone))
                number += 1
        for number in range(servers):
            await self.add_server(services[number % len(services)], ZONES[number % len(ZONES)])
        if has_switch:
            self.switch = Switch(self)
            await self.switch.start()
        for instance in self.instances:
            await instance.link.start(instance.ip, self.store.address)
            instance.start()
            self._tasks.append(asyncio.create_task(instance.keep_checking()))

    async def wait_ready(self, limit_s: float = 30.0) -> None:
        until = time.monotonic() + limit_s
        while not all(instance.in_rotation for instance in self.instances):
            if time.monotonic() > until:
                raise CannotRun('not all instances became ready')
            await asyncio.sleep(0.1)

    async def add_server(self, service: str, zone: str) -> Server:
        server = Server(self, len(self.servers), service, zone)
        self.servers.append(server)
        self.server_by_id[server.id] = server
        await server.start()
        return server

    def publish(self, routes: dict[tuple[str, int], str], kind: str = 'safe') -> None:
        """Publishes a configuration in full; the store's answer confirms it."""
        self.version += random.randrange(1, 5)
        self.store.put(
            'op/config',
            {
                'version': self.version,
                'routes': [
                    {
                        'name': f'r-{host.replace(".", "-")}-{port}',
                        'host': host,
                        'prefix': f'/{port}/',
                        'type': kind,
                        'timeout_ms': 3000,
                        'slo_ms': 300,
                        'priority': 1,
                        'service': service,
                        'max_attempts': 2,
                    }
                    for (host, port), service in routes.items()
                ],
                'services': [
                    {
                        'name': service,
                        'health_path': '/health',
                        'max_conns': 2000,
                        'protocol': 'h1',
                        'tls': False,
                    }
                    for service in sorted(set(routes.values()))
                ],
                'limits': {
                    'max_header_bytes': 16384,
                    'max_body_bytes': 262144,
                    'header_timeout_ms': 3000,
                    'idle_timeout_ms': 15000,
                },
            },
        )

    def _client_ip(self, zone: str) -> str:
        return f'127.{self.net}.{30 + ZONES.index(zone)}.1'

    def new_flow(self, zone: str, address: tuple[str, int]) -> ClientFlow:
        ip = self._client_ip(zone)
        self._next_port += 1
        flow = ClientFlow(self, zone, ip, self._next_port, address)
        self.clients[flow.key[:2]] = flow
        return flow

    def send_to_instance(self, flow: ClientFlow, packet: Packet) -> None:
        """Routes a client's packet by a hash of the four addresses and ports over the nodes in rotation."""
        zones = [flow.zone, *(zone for zone in ZONES if zone != flow.zone)]
        for zone in zones:
            members = [instance for instance in self.instances if instance.zone == zone]
            nodes = [instance for instance in members if instance.in_rotation]
            if nodes and 2 * len(nodes) < len(members):
                nodes = members
            if nodes:
                break
        else:
            return
        node = nodes[zlib.crc32(repr(flow.key).encode()) % len(nodes)]
        if packet.flags & SYN:
            self.syn_instance[flow.key] = node.name
        send = self._client_sockets[flow.key[0]].sendto
        if node.delay_s:
            asyncio.get_running_loop().call_later(
                2 * node.delay_s, send, packet.pack(), (node.ip, self.packet_port)
            )
        else:
            send(packet.pack(), (node.ip, self.packet_port))

    def zone_of(self, ip: str) -> str:
        return next((instance.zone for instance in self.instances if instance.ip == ip), '')

    def is_lost(self, zone: str, other: str) -> bool:
        """Whether a packet between two zones is lost."""
        lost = (
            zone != other and self.lossy_zone in {zone, other} and random.random() < self.loss_share
        )
        self.lost_count += lost
        return lost

    def send_to_client(self, server: Server, packet: Packet) -> None:
        flow = self.clients.get((packet.dst, packet.dport))
        if flow is not None and self.is_lost(server.zone, flow.zone):
            self.record.write(
                f'link {server.zone} to {flow.zone}: lost a packet of {server.id} to {packet.dst}:{packet.dport}, flags {packet.flags}'
            )
        elif flow is not None:
            flow.receive(server, Packet.unpack(packet.pack()))

    def saw(self, what: str, server: Server, key: Flow, packet: Packet) -> None:
        """Notes what a server saw."""
        if what != 'packet':
            self.record.write(
                f'server {server.id}: {what} {key[0]}:{key[1]} to {key[2]}:{key[3]} through {self.syn_instance.get(key)}'
            )
        if what == 'forged':
            self.broken.append(f'UNASKED forged packet at {server.id}')
        if what == 'run':
            text = packet.data.decode(errors='replace')
            request_id = text.partition('X-Berylstair-Request-Id: ')[2].partition('\r\n')[0]
            if request_id not in self.sent_ids:
                self.broken.append(f'UNASKED request {request_id} at {server.id}')
        for observe in self.observers:
            observe(what, server, key, packet)

    def client_reset(self, flow: ClientFlow, sender: str) -> None:
        self.record.write(
            f'client {flow.key[0]}:{flow.key[1]}: reset from {sender}, state {flow.state}, flow of {flow.server_id or "nobody"}'
        )

    def _receive_at_client(self, raw: bytes, _sender_ip: str) -> None:
        packet = Packet.unpack(raw)
        flow = self.clients.get((packet.dst, packet.dport))
        if flow is not None:
            flow.receive(None, packet)

    async def stop(self) -> None:
        for task in self._tasks:
            task.cancel()
        for instance in self.instances:
            if instance.process is not None and instance.process.poll() is None:
                instance.process.send_signal(signal.SIGCONT)
                instance.process.kill()
                instance.process.wait()
        for task in asyncio.all_tasks() - {asyncio.current_task()}:
            task.cancel()
        await asyncio.sleep(0.1)


def _deploy_command() -> list[str]:
    with (ROOT / 'deploy/system.toml').open('rb') as file:
        deploy = tomllib.load(file)
    return shlex.split(deploy['roles']['entry']['run'])


def _reserve_net() -> tuple[int, socket.socket]:
    """Returns the second byte of this run's addresses, and a socket that reserves it."""
    for net in random.sample(range(20, 250), 230):
        lock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        try:
            lock.bind((f'127.{net}.1.2', 45454))
        except OSError:
            lock.close()
            continue
        return net, lock
    raise CannotRun('no free loopback network')


def _find_free_ports(count: int) -> list[int]:
    base = 0
    for _ in range(50):
        with socket.socket() as probe:
            probe.bind(('127.0.0.1', 0))
            base = probe.getsockname()[1]
        if base + count + 6 < 65000 and base != 9464:
            break
    return [base + 1 + number for number in range(count)]


def play(folder: Path, story: Callable[[World], Any], limit_s: float = 100.0) -> None:
    """Plays a story and exits: 1 if the rule was broken, 0 if it held, 2 if it could not run."""
    record = Record()
    status = 2
    # The processes are ended also if the script itself is told to stop.
    signal.signal(signal.SIGTERM, lambda _number, _frame: sys.exit(2))
    with tempfile.TemporaryDirectory() as temporary:

        async def run() -> int:
            world = World(Path(temporary), record)
            try:
                await asyncio.wait_for(story(world), limit_s)
            finally:
                await world.stop()
                for instance in world.instances:
                    faults = [
                        line
                        for line in instance.log_text().splitlines()
                        if 'internal_fault' in line or 'Traceback' in line
                    ]
                    if faults:
                        record.write(
                            f'{instance.name}: its log has {len(faults)} lines of internal faults, the first: {faults[0][:300]}'
                        )
                if os.environ.get('KEEP_LOGS'):
                    for instance in world.instances:
                        (Path(os.environ['KEEP_LOGS']) / f'{instance.name}.log').write_text(
                            instance.log_text()
                        )
            for line in world.broken:
                record.write(f'BROKEN {line}')
            return 1 if world.broken else 0

        try:
            status = asyncio.run(run())
        except Exception as error:  # a fault of the script is no broken rule
            record.write(f'could not run: {error!r}')
            status = 2
    record.write(f'exit status {status}')
    record.save(folder)
    print(record.lines[-1], *[line for line in record.lines if 'BROKEN' in line][:5], sep='\n')
    sys.exit(status)
