"""Stand-ins for the platform, backend servers and clients, for the scripts of this review.

They follow PROTOCOL.md and DEPLOY.md of the users' pages, need only the standard library
and use loopback addresses only. The instances of berylstair run as processes of their own,
with the command of deploy/system.toml; everything else runs on one asyncio loop.
"""

import asyncio
import base64
import hashlib
import json
import os
import random
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import time
import tomllib
from pathlib import Path
from urllib.parse import unquote

ROOT = Path(__file__).resolve().parents[2]
HEADER = struct.Struct('<HB5xIHIHIIII')
SYN, RST, FIN, ACK = 2, 4, 16, 128
ONE_WAY_TO_CLIENT_S = 0.003
STABLE_WINDOW_S = 4.0
SERVICE_IP = '127.200.0.1'


def ip_number(ip):
    return int.from_bytes(socket.inet_aton(ip), 'big')


def ip_text(number):
    return socket.inet_ntoa(number.to_bytes(4, 'big'))


def flag_text(flags):
    names = ((SYN, 'SYN'), (RST, 'RST'), (FIN, 'FIN'), (ACK, 'ACK'))
    return '+'.join(name for bit, name in names if flags & bit)


def pack(flags, source, target, sequence, acknowledged, echo, data=b''):
    return (
        HEADER.pack(
            len(data),
            flags,
            ip_number(target[0]),
            target[1],
            ip_number(source[0]),
            source[1],
            0,
            sequence % (1 << 32),
            acknowledged % (1 << 32),
            echo,
        )
        + data
    )


def free_ports(count):
    """Returns ports that are free for TCP and UDP."""
    ports = []
    while len(ports) < count:
        port = random.randrange(20000, 32000)
        try:
            for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
                with socket.socket(socket.AF_INET, kind) as probe:
                    probe.bind(('127.0.0.1', port))
        except OSError:
            continue
        if port not in ports:
            ports.append(port)
    return ports


class Record:
    """Writes what happens to record.txt, with seconds since the start."""

    def __init__(self, path):
        self._file = open(path, 'w', encoding='utf-8')
        self.started_at = time.monotonic()
        self.counts = {}

    def now(self):
        return time.monotonic() - self.started_at

    def write(self, text):
        self._file.write(f'{self.now():8.3f} {text}\n')

    def count(self, name, by=1):
        self.counts[name] = self.counts.get(name, 0) + by

    def close(self):
        for name, value in sorted(self.counts.items()):
            self._file.write(f'total {name}: {value}\n')
        self._file.close()


class Datagrams(asyncio.DatagramProtocol):
    def __init__(self, handle):
        self.handle = handle

    def datagram_received(self, data, source):
        self.handle(data, source)

    def error_received(self, error):
        pass


async def open_datagrams(address, handle):
    sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4 << 20)
    sock.setblocking(False)
    sock.bind(address)
    loop = asyncio.get_running_loop()
    transport, _ = await loop.create_datagram_endpoint(lambda: Datagrams(handle), sock=sock)
    return transport


class Store:
    """The platform's store: range reads and watches over HTTP/1.1."""

    PAGE = 50

    def __init__(self):
        self.revision = 1
        self.items = {}
        self.events = []
        self.changed = asyncio.Event()

    async def start(self, address):
        await asyncio.start_server(self._serve, *address)

    def put(self, key, value):
        self.revision += 1
        data = base64.b64encode(json.dumps(value).encode()).decode()
        created = self.items.get(key, {}).get('create_rev', self.revision)
        item = dict(key=key, value=data, rev=self.revision, create_rev=created, lease=0)
        self.items[key] = item
        self._notify(item)

    def remove(self, key):
        if self.items.pop(key, None) is not None:
            self.revision += 1
            self._notify(dict(key=key, rev=self.revision, tombstone=True))

    def _notify(self, event):
        self.events.append(event)
        self.changed.set()
        self.changed = asyncio.Event()

    async def _serve(self, reader, writer):
        try:
            while True:
                request = (await reader.readuntil(b'\r\n\r\n')).decode('latin-1')
                target = request.split(' ')[1]
                path, _, query = target.partition('?')
                fields = dict(pair.split('=', 1) for pair in query.split('&') if pair)
                body = json.dumps(await self._answer(path, fields)).encode()
                head = (
                    'HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nStore-Era: 1\r\n'
                    f'Content-Length: {len(body)}\r\n\r\n'
                )
                writer.write(head.encode() + body)
                await writer.drain()
        except (OSError, EOFError, asyncio.LimitOverrunError):
            pass
        finally:
            writer.close()

    async def _answer(self, path, fields):
        await asyncio.sleep(0.004)
        if path.endswith('kv-range'):
            after = unquote(fields.get('after', ''))
            keys = sorted(key for key in self.items if key > after)
            page = [self.items[key] for key in keys[: self.PAGE]]
            return dict(
                items=page, has_more=len(keys) > self.PAGE, store_revision=self.revision
            )
        after = int(fields['after'])
        ends_at = time.monotonic() + int(fields['wait_ms']) / 1000
        while True:
            events = [event for event in self.events if event['rev'] > after]
            left = ends_at - time.monotonic()
            if events or left <= 0:
                return dict(events=events, store_revision=self.revision)
            try:
                await asyncio.wait_for(self.changed.wait(), left)
            except TimeoutError:
                pass


class Instance:
    """One machine of the system, its process, and since when it is in touch."""

    def __init__(self, name, zone, own_ip, peer_ip):
        self.name, self.zone, self.own_ip, self.peer_ip = name, zone, own_ip, peer_ip
        self.process = None
        self.disturbed_at = time.monotonic()
        self.misses = 2
        self.is_cut = False
        # Seeds that name no machine any more, while the settings have these.
        self.stale_seeds = []
        # Whether the machine has not been added yet.
        self.is_spare = False

    @property
    def in_rotation(self):
        return self.misses < 2

    def is_in_touch(self):
        return not self.is_cut and time.monotonic() - self.disturbed_at >= STABLE_WINDOW_S


class Platform:
    """Starts instances, relays the traffic among them, and routes clients' packets."""

    def __init__(self, record, zones, subnet=None):
        """``zones`` is the zone of each instance, in order."""
        self.record = record
        self.store = Store()
        octet = subnet or random.randrange(20, 120)
        self.octet = octet
        (
            self.packet_port,
            self.ready_port,
            self.control_port,
            self.peer_port,
            self.store_port,
            self.server_port,
        ) = free_ports(6)
        self.folder = tempfile.TemporaryDirectory()
        self.instances = [
            Instance(f'front-{zone}-{i + 1}', zone, f'127.{octet}.1.{i + 1}', f'127.{octet}.2.{i + 1}')
            for i, zone in enumerate(zones)
        ]
        self.by_own_ip = {instance.own_ip: instance for instance in self.instances}
        self.relay_by_name = {}
        # When the stand-ins' loop ran late, from and until.
        self.late_spans = []
        self.is_closed = False
        self.rotation_changes = 0
        self.tasks = []
        deploy = tomllib.loads((ROOT / 'deploy/system.toml').read_text(encoding='utf-8'))
        self.role = deploy['roles']['entry']
        self.server_by_ip = {}
        self.client_by_ip = {}

    async def _watch_loop(self):
        while True:
            at = time.monotonic()
            await asyncio.sleep(0.005)
            now = time.monotonic()
            if now - at > 0.02:
                self.late_spans.append((at, now))
                self.record.count('stand-ins late by over 15 ms')

    def was_late_around(self, began_at, ended_at):
        """Returns whether the stand-ins ran late while a flow opened, or just before or after."""
        return any(
            from_at < ended_at + 0.2 and until_at > began_at - 0.1
            for from_at, until_at in self.late_spans
        )

    async def start(self):
        self.tasks.append(asyncio.create_task(self._watch_loop()))
        await self.store.start((f'127.{self.octet}.3.1', self.store_port))
        for instance in self.instances:
            self.relay_by_name[instance.name] = await open_datagrams(
                (instance.peer_ip, self.peer_port),
                lambda data, source, target=instance: self._relay(data, source, target),
            )
            await asyncio.start_server(
                lambda reader, writer, target=instance: self._relay_stream(reader, writer, target),
                instance.peer_ip,
                self.peer_port,
            )
        self.out = await open_datagrams((f'127.{self.octet}.5.1', 0), lambda data, source: None)
        for instance in self.instances:
            if not instance.is_spare:
                self.add(instance)

    def add(self, instance):
        """Starts a machine; the routers check its readiness from now on."""
        instance.is_spare = False
        self.launch(instance)
        self.tasks.append(asyncio.create_task(self._check_ready(instance)))

    def launch(self, instance):
        if self.is_closed:
            return
        self.write_settings(instance)
        path = self._settings_path(instance)
        words = self.role['run'].split()
        log = open(path.with_suffix('.log'), 'ab')
        instance.process = subprocess.Popen(
            [sys.executable if words[0].startswith('python3') else words[0], *words[1:]],
            cwd=ROOT,
            env=dict(
                PATH=os.environ['PATH'],
                HOME=os.environ.get('HOME', '/'),
                PYTHONPATH=str(ROOT / 'target/deps'),
                BERYLSTAIR_NODE_FILE=str(path),
            ),
            stdout=log,
            stderr=log,
        )
        log.close()
        instance.disturbed_at = time.monotonic()

    def _settings_path(self, instance):
        return Path(self.folder.name) / f'{instance.name}.json'

    def write_settings(self, instance):
        """Writes an instance's settings file; a running process gets no signal."""
        seeds = instance.stale_seeds or [
            f'{other.peer_ip}:{self.control_port}' for other in self.instances[:3]
        ]
        zones = {other.zone: 'midlands-west' for other in self.instances}
        settings = dict(
            node_id=instance.name,
            role='entry',
            zone=instance.zone,
            region='midlands-west',
            zones=zones,
            ip=instance.own_ip,
            serves=['front', 'control'],
            listen=dict(
                datagram_addr=f'{instance.own_ip}:{self.packet_port}',
                ready=f'{instance.own_ip}:{self.ready_port}',
                control=f'{instance.own_ip}:{self.control_port}',
            ),
            internal_ports=[self.peer_port, self.peer_port + 15],
            seeds=seeds,
            bootstrap=False,
            limits=dict(
                cpu_share=0.537, cores=2, memory_mb=300, max_fds=4100, link_mbps=1000.0, disk_mb=0
            ),
            data_dir=None,
            discovery='platform',
            entry='announce',
            heartbeat_ms=1200,
            contracts=['base', 'drain', 'config', 'cost', 'recover', 'flows', 'platform'],
            tolerate=dict(machines=2, zones=1, regions=0),
            bounds=dict(
                seed_lag_s=3, reuse_after_s=2, stable_window_ms=4000, ack_ms=5000, catch_up_s=4,
                drain_ms=3000, grace_s=6, loss_slack_ms=200, config_apply_ms=3000,
                rollback_slack_ms=250, max_skew_ms=12000, recover_s=12, flow_ms=2000, max_flow_s=60,
            ),
            hash='mod',
            encap='echo',
            platform=dict(
                address=f'127.{self.octet}.3.1:{self.store_port}', encap='read', writes_per_s=400,
                reads_per_s=2000, history_s=20, value_bytes=1048576, ttl_min_ms=1000,
            ),
        )
        self._settings_path(instance).write_text(json.dumps(settings), encoding='utf-8')

    def log_of(self, instance):
        return (Path(self.folder.name) / f'{instance.name}.log').read_text(encoding='utf-8')

    async def stop_and_start(self, instance, grace_s=6.0):
        """A planned stop: SIGTERM, SIGKILL after the grace period, and a new start."""
        self.record.write(f'SIGTERM {instance.name}')
        instance.disturbed_at = time.monotonic()
        instance.process.send_signal(signal.SIGTERM)
        ends_at = time.monotonic() + grace_s
        while instance.process.poll() is None and time.monotonic() < ends_at:
            await asyncio.sleep(0.02)
        if instance.process.poll() is None:
            instance.process.kill()
        instance.process.wait()
        await asyncio.sleep(0.2)
        self.launch(instance)
        self.record.write(f'start {instance.name}')

    async def roll(self, instances, gap_s, until):
        """Stops and starts instances in turn, the next one once the last is in rotation."""
        for instance in instances:
            if time.monotonic() >= until:
                return
            await self.stop_and_start(instance)
            ends_at = time.monotonic() + 10
            while not instance.in_rotation and time.monotonic() < ends_at:
                await asyncio.sleep(0.02)
            await asyncio.sleep(gap_s)

    def cut(self, instance, is_cut):
        """Cuts an instance from all other instances; clients, servers and store reach it."""
        self.record.write(f'{"cut off" if is_cut else "healed"} {instance.name}')
        instance.is_cut = is_cut
        instance.disturbed_at = time.monotonic()

    def _is_blocked(self, one, other):
        return one.is_cut or other.is_cut

    def _relay(self, data, source, target):
        sender = self.by_own_ip.get(source[0])
        if sender is not None and not self._is_blocked(sender, target):
            self.relay_by_name[sender.name].sendto(data, (target.own_ip, self.peer_port))

    async def _relay_stream(self, reader, writer, target):
        if target.is_cut:
            # Silent: the connection is accepted by the relay only, and nothing is answered.
            await asyncio.sleep(5)
            writer.transport.abort()
            return
        try:
            out_reader, out_writer = await asyncio.open_connection(target.own_ip, self.peer_port)
        except OSError:
            writer.transport.abort()
            return

        async def copy(one, other):
            try:
                while data := await one.read(65536):
                    other.write(data)
                    await other.drain()
            except OSError:
                pass
            other.close()

        await asyncio.gather(copy(reader, out_writer), copy(out_reader, writer))

    async def _check_ready(self, instance):
        """The routers' readiness check, twice a second."""
        await asyncio.sleep(random.random() * 0.5)
        while True:
            asyncio.create_task(self._check_once(instance))
            await asyncio.sleep(0.5)

    async def _check_once(self, instance):
        is_ready = False
        try:
            async with asyncio.timeout(0.45):
                reader, writer = await asyncio.open_connection(instance.own_ip, self.ready_port)
                writer.write(b'GET /berylstair/ready HTTP/1.1\r\nHost: x\r\n\r\n')
                is_ready = b' 200 ' in await reader.readline()
                writer.close()
        except (OSError, TimeoutError):
            pass
        was_in = instance.in_rotation
        instance.misses = 0 if is_ready else instance.misses + 1
        if was_in != instance.in_rotation:
            self.rotation_changes += 1
            self.record.write(f'rotation {"+" if instance.in_rotation else "-"} {instance.name}')

    def nodes_for(self, zone):
        own = [i for i in self.instances if i.zone == zone and not i.is_spare]
        ready = [instance for instance in own if instance.in_rotation]
        if ready and len(ready) * 2 < len(own):
            return own
        if ready:
            return ready
        return [instance for instance in self.instances if instance.in_rotation] or own

    def route(self, packet, zone):
        """Forwards a client's packet to the instance that the hash selects now."""
        nodes = self.nodes_for(zone)
        key = packet[8:20]
        number = int.from_bytes(hashlib.blake2b(key, digest_size=8).digest(), 'big')
        node = nodes[number % len(nodes)]
        self.out.sendto(packet, (node.own_ip, self.packet_port))
        return node

    def is_all_ready(self):
        return all(i.in_rotation or i.is_spare for i in self.instances)

    async def wait_ready(self, limit_s=25):
        ends_at = time.monotonic() + limit_s
        while not self.is_all_ready():
            if time.monotonic() > ends_at:
                raise TimeoutError('the instances are not ready')
            await asyncio.sleep(0.05)

    def close(self):
        """Ends all processes; none is started any more."""
        self.is_closed = True
        for task in self.tasks:
            task.cancel()
        for instance in self.instances:
            if instance.process is not None and instance.process.poll() is None:
                instance.process.kill()
                instance.process.wait()
        self.folder.cleanup()


class ServerFlow:
    def __init__(self, sequence, echo):
        self.sequence = sequence
        self.next_sequence = sequence + 1
        self.echo = echo
        self.is_open = False
        self.answer_by_sequence = {}


class Server:
    """A backend server: a sound one that answers clients directly."""

    SYN_REPEATS = (0.2, 0.4, 0.8, 1.6, 1.6, 1.6, 1.6, 1.6)

    def __init__(self, platform, number, zone, service, work_s):
        self.platform = platform
        self.id = f'i-{random.getrandbits(32):08x}'
        self.number = int(self.id[2:], 16)
        self.ip = f'127.{platform.octet}.4.{number + 1}'
        self.zone, self.service, self.work_s = zone, service, work_s
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.state = 'ready'
        self.flow_by_key = {}
        platform.server_by_ip[self.ip] = self
        # The instance whose packet led to a reset, and whether it was in touch then.
        self.reset_by_client = {}

    async def start(self):
        port = self.platform.server_port
        self.transport = await open_datagrams((self.ip, port), self._handle)
        self.health = await asyncio.start_server(self._serve_health, self.ip, port)
        self.publish()

    def publish(self):
        self.sequence += 1
        entry = dict(
            service=self.service,
            address=f'{self.ip}:{self.platform.server_port}',
            zone=self.zone,
            version='v1',
            slots=3,
            state=self.state,
            cold_left_ms=0,
            seq=self.sequence,
            born=self.born,
        )
        self.platform.store.put(f'servers/{self.id}', entry)

    async def _serve_health(self, reader, writer):
        try:
            await reader.readuntil(b'\r\n\r\n')
            writer.write(b'HTTP/1.1 200 OK\r\nContent-Length: 0\r\nConnection: close\r\n\r\n')
            await writer.drain()
        except (OSError, EOFError):
            pass
        writer.close()

    def _handle(self, data, source):
        if int.from_bytes(data[:8], 'big') not in (0, self.number):
            return
        packet = data[8:]
        length, flags, service, port, client, client_port, _, sequence, acknowledged, echo = (
            HEADER.unpack_from(packet)
        )
        key = (client, client_port, service, port)
        flow = self.flow_by_key.get(key)
        if flow is not None:
            flow.echo = echo
        if flags & SYN:
            if flow is None:
                flow = ServerFlow(random.getrandbits(31), echo)
                self.flow_by_key[key] = flow
                self._answer_syn(key, flow, sequence, self.SYN_REPEATS)
            else:
                # A copy opens nothing, but is answered, with the echo that it brought.
                self._send(key, SYN | ACK, flow.sequence, sequence + 1, flow.echo)
            return
        is_held = flow is not None and (
            flow.is_open or acknowledged == (flow.sequence + 1) % (1 << 32)
        )
        if not is_held:
            if not flags & (FIN | RST):
                instance = self.platform.by_own_ip.get(source[0])
                if instance is not None:
                    is_in_touch = instance.is_in_touch()
                    self.reset_by_client[ip_text(client), client_port] = instance, is_in_touch
                self._send(key, RST, acknowledged, 0, echo)
            return
        flow.is_open = True
        if flags & (FIN | RST):
            self.flow_by_key.pop(key)
            return
        if length:
            self._run(key, flow, sequence, packet[HEADER.size :])

    def _answer_syn(self, key, flow, sequence, repeats):
        if flow.is_open or self.flow_by_key.get(key) is not flow:
            return
        self._send(key, SYN | ACK, flow.sequence, sequence + 1, flow.echo)
        if repeats:
            loop = asyncio.get_running_loop()
            loop.call_later(repeats[0], self._answer_syn, key, flow, sequence, repeats[1:])
        else:
            self.flow_by_key.pop(key, None)

    def _run(self, key, flow, sequence, data):
        known = flow.answer_by_sequence.get(sequence)
        if known is not None:
            if known:
                self._send(key, ACK, known[0], sequence + len(data), flow.echo, known[1])
            return
        flow.answer_by_sequence[sequence] = b''
        self.platform.record.count('requests run')

        def finish():
            answer = b'answer to ' + data
            flow.answer_by_sequence[sequence] = (flow.next_sequence, answer)
            self._send(key, ACK, flow.next_sequence, sequence + len(data), flow.echo, answer)
            flow.next_sequence += len(answer)

        asyncio.get_running_loop().call_later(self.work_s, finish)

    def _send(self, key, flags, sequence, acknowledged, echo, data=b''):
        client, client_port, service, port = key
        packet = pack(
            flags, (ip_text(service), port), (ip_text(client), client_port),
            sequence, acknowledged, echo, data,
        )
        loop = asyncio.get_running_loop()
        loop.call_later(ONE_WAY_TO_CLIENT_S, self.platform.deliver, packet, self)


def _deliver(self, packet, server):
    client = self.client_by_ip.get(ip_text(HEADER.unpack_from(packet)[2]))
    if client is not None:
        client.handle(packet, server)


Platform.deliver = _deliver


class ClientFlow:
    """A flow of a client: it opens, carries requests with pauses between them, and closes."""

    SYN_AFTER_S = (0.0, 0.2, 0.6, 1.4)
    REPEATS_S = (0.2, 0.4, 0.8, 1.6)

    def __init__(self, client, port):
        self.client, self.port = client, port
        self.echo = 0
        self.sequence = random.getrandbits(30)
        self.acknowledged = 0
        self.server = None
        self.opened_at = None
        self.ended = None
        self.event = asyncio.Event()
        self.awaited = None
        self.reset_by = None
        # What was sent and received, for the record.
        self.history = []

    def note(self, text):
        if self.ended != 'reset':
            self.history.append((self.client.platform.record.now(), text))

    def handle(self, packet, server):
        length, flags, *_ = HEADER.unpack_from(packet)
        sequence, acknowledged, echo = HEADER.unpack_from(packet)[7:]
        sender = server.id if server else 'the system'
        self.note(f'received {flag_text(flags)} from {sender}, echo {echo:08x}, {length} bytes')
        if flags & RST:
            if self.server is None:
                self.ended = self.ended or 'refused'
            elif self.ended is None:
                distance = (sequence - self.acknowledged) % (1 << 32)
                if min(distance, (1 << 32) - distance) <= 76_800:
                    self.ended = 'reset'
                    self.reset_by = server
            self.event.set()
            return
        self.echo = echo
        if flags & SYN:
            if self.server is None and self.ended is None:
                self.server = server
                self.acknowledged = sequence + 1
                self.sequence += 1
                self.opened_at = time.monotonic()
                self._send(ACK, self.acknowledged)
                self.event.set()
            return
        if server is self.server and length and acknowledged == self.awaited:
            self.acknowledged = sequence + length
            self.awaited = None
            self.event.set()

    def _send(self, flags, acknowledged, data=b''):
        packet = pack(
            flags, (self.client.ip, self.port), (SERVICE_IP, 443),
            self.sequence, acknowledged, 0 if flags & SYN else self.echo, data,
        )
        self.client.send(packet, self)

    async def _wait(self, limit_s):
        self.event.clear()
        try:
            await asyncio.wait_for(self.event.wait(), max(limit_s, 0.001))
        except TimeoutError:
            pass

    async def open(self):
        started_at = self.started_at = time.monotonic()
        for copies, until in enumerate(self.SYN_AFTER_S[1:]):
            self._send(SYN, copies)
            while self.server is None and self.ended is None:
                left = started_at + until - time.monotonic()
                if left <= 0:
                    break
                await self._wait(left)
            if self.server is not None or self.ended is not None:
                break
        if self.server is None:
            self.ended = self.ended or 'not opened'
            return False
        return True

    async def request(self, data, deadline_s=4.0):
        """Sends a request and repeats it until it is answered; returns whether it was."""
        ends_at = time.monotonic() + deadline_s
        self.awaited = (self.sequence + len(data)) % (1 << 32)
        tries = 0
        while self.awaited is not None and self.ended is None and time.monotonic() < ends_at:
            self._send(ACK, self.acknowledged, data)
            repeat_at = time.monotonic() + self.REPEATS_S[min(tries, 3)]
            tries += 1
            while self.awaited is not None and self.ended is None:
                left = min(repeat_at, ends_at) - time.monotonic()
                if left <= 0:
                    break
                await self._wait(left)
        if self.ended is not None or self.awaited is not None:
            return False
        self.sequence += len(data)
        self._send(ACK, self.acknowledged)
        return True

    def close(self):
        if self.ended is None:
            self.ended = 'closed'
            self._send(ACK | FIN, self.acknowledged)


class Client:
    """A client's address; its packets go through the platform's routers of its zone."""

    def __init__(self, platform, number, zone):
        self.platform, self.zone = platform, zone
        self.ip = f'127.{platform.octet}.6.{number + 1}'
        self.next_port = 20000
        self.flow_by_port = {}
        platform.client_by_ip[self.ip] = self

    async def start(self):
        # The system's own resets arrive at the port of the instances' packets.
        self.transport = await open_datagrams(
            (self.ip, self.platform.packet_port),
            lambda data, source: asyncio.get_running_loop().call_later(
                ONE_WAY_TO_CLIENT_S, self.handle, data, None
            ),
        )

    def new_flow(self):
        self.next_port += 1
        flow = ClientFlow(self, self.next_port)
        self.flow_by_port[self.next_port] = flow
        return flow

    def send(self, packet, flow):
        def route():
            node = self.platform.route(packet, self.zone)
            length, flags = HEADER.unpack_from(packet)[:2]
            echo = HEADER.unpack_from(packet)[-1]
            flow.note(f'sent {flag_text(flags)} to {node.name}, echo {echo:08x}, {length} bytes')

        asyncio.get_running_loop().call_later(ONE_WAY_TO_CLIENT_S, route)

    def handle(self, packet, server):
        flow = self.flow_by_port.get(HEADER.unpack_from(packet)[3])
        if flow is not None:
            flow.handle(packet, server)


def configuration(version, service='reports-desk', ports=(443,), retired=()):
    return dict(
        version=version,
        routes=[
            dict(
                name=f'r-{port}', host=SERVICE_IP, prefix=f'/{port}/', type='safe', timeout_ms=4000,
                slo_ms=250, priority=2, service=service, max_attempts=2,
            )
            for port in ports
        ],
        services=[dict(name=service, health_path='/health', max_conns=2000, protocol='h1', tls=False)],
        limits=dict(
            max_header_bytes=16384, max_body_bytes=262144, header_timeout_ms=3000,
            idle_timeout_ms=15000,
        ),
    )


async def run_and_exit(work, limit_s):
    """Runs a case and exits with its result, 2 if it could not run.

    A signal or the limit cancels the case, so that it ends its processes.
    """
    task = asyncio.ensure_future(work)
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP):
        loop.add_signal_handler(number, task.cancel)
    try:
        status = await asyncio.wait_for(task, limit_s)
    except (Exception, asyncio.CancelledError) as error:
        print(f'could not run: {error!r}')
        status = 2
    sys.stdout.flush()
    # The stand-ins' own tasks need not end in order.
    os._exit(status)
