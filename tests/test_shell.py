"""Tests of settings, sources, command line, status and peer connections."""

import asyncio
import json
import tempfile
from pathlib import Path
from typing import Any

import trustme
from prometheus_client.parser import text_string_to_metric_families
from testtools import TestCase
from testtools.matchers import Contains, Equals, GreaterThan
from typer.testing import CliRunner

from berylstair.cli import EXIT_INVALID_INPUT, EXIT_UNREACHABLE, app
from berylstair.counter import Counters
from berylstair.errors import ConfigurationError, ErrorKind, SourceError
from berylstair.event import PeerClosed, PeerMessage, PeerOpened
from berylstair.ids import Endpoint, InstanceId
from berylstair.message import HandoverAck, Hello, encode_message
from berylstair.metrics import render_metrics
from berylstair.peers import PeerConnections
from berylstair.record import Instance
from berylstair.settings import load_settings
from berylstair.source import DirectorySource, HttpSource
from berylstair.status import explain, read_status
from emulator.configuration_service import ConfigurationService
from emulator.udp import find_free_ports
from tests.network import DESK_ADDRESS, MAPS_ADDRESS, Network, caller_endpoint

EXAMPLE = Path('examples/severn-vale/settings.jsonc')
_RUNNER = CliRunner()


class SettingsTest(TestCase):
    """An error in the settings names the file, the key and the allowed values."""

    def test_faults(self) -> None:
        text = EXAMPLE.read_text(encoding='utf-8')
        table = (
            ('"direct"', '"tunnel"', 'fabric.mode', 'direct, encapsulated'),
            ('"direct"', '"encapsulated"', 'fabric._schema', 'needs listen and relay'),
            ('"mutual_tls"', '"none"', 'peer_security.mode', 'mutual_tls, plaintext'),
            ('"certificate"', '"cert"', 'peer_security.cert', 'Unknown'),
            (':7101"', ':x"', 'peer_listen', 'IP:PORT'),
            ('"request_lifetime_s": 60', '"request_lifetime_s": 0', 'limits.request', 'greater'),
            ('"seeds"', '"policy": "best", "seeds"', 'policy', 'least_loaded'),
            ('{', '', 'line 2', 'not JSON'),
        )
        for old, new, key, fix in table:
            with self.subTest(key=key, new=new), tempfile.TemporaryDirectory() as folder:
                path = Path(folder) / 'settings.jsonc'
                path.write_text(text.replace(old, new, 1), encoding='utf-8')
                error = self.assertRaises(ConfigurationError, load_settings, path)
                matching = [problem for problem in error.problems if key in problem.key]
                self.assertTrue(matching, str(error))
                self.assertThat(str(matching[0]), Contains(fix))
                self.assertThat(str(matching[0]), Contains(str(path)))

    def test_the_example_loads(self) -> None:
        self.assertThat(load_settings(EXAMPLE).core.instance, Equals('tame-side-1'))


class SourceTest(TestCase):
    """Both sources return a change once and raise an error when they cannot be read."""

    def test_directory(self) -> None:
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder)
            (path / 'one.jsonc').write_text('1', encoding='utf-8')
            (path / 'notes.txt').write_text('x', encoding='utf-8')
            source = DirectorySource(path)
            first = source.read(0, 0)
            self.assertThat(first.texts, Equals(('1',)))
            self.assertThat(source.read(first.revision, 0).texts, Equals(()))
            (path / 'one.jsonc').write_text('22', encoding='utf-8')
            self.assertThat(source.read(first.revision, 5).texts, Equals(('22',)))
        self.assertRaises(SourceError, source.read, 0, 0)

    def test_http(self) -> None:
        port = find_free_ports(1)[0]
        platform = ConfigurationService(Endpoint('127.0.0.1', port))
        self.addCleanup(platform.close)
        source = HttpSource(f'http://127.0.0.1:{port}')
        platform.publish('1')
        self.assertThat(source.read(0, 0).texts, Equals(('1',)))
        self.assertThat(source.read(1, 0).texts, Equals(()))
        platform.publish('2')
        platform.set_stale_revision(1)
        self.assertThat(source.read(2, 0).revision, Equals(1))
        platform.set_unavailable(True)
        self.assertRaises(SourceError, source.read, 0, 0)


class CommandLineTest(TestCase):
    """Commands print JSON and exit with the documented codes."""

    def test_check(self) -> None:
        good = _RUNNER.invoke(app, ['check', '--json', str(EXAMPLE)])
        self.assertThat(good.exit_code, Equals(0))
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder) / 'bad.jsonc'
            path.write_text('{"kind": "service", "schema": 2}', encoding='utf-8')
            bad = _RUNNER.invoke(app, ['check', '--json', str(path)])
        self.assertThat(bad.exit_code, Equals(EXIT_INVALID_INPUT))
        keys = {problem['key'] for problem in json.loads(bad.stdout)['problems']}
        self.assertThat(keys, Contains('addresses'))

    def test_unreachable_instance(self) -> None:
        port = find_free_ports(1)[0]
        for command in (['status'], ['explain', '10.0.0.1:1', '10.0.0.2:2']):
            with self.subTest(command=command):
                result = _RUNNER.invoke(app, [*command, '--admin', f'127.0.0.1:{port}'])
                self.assertThat(result.exit_code, Equals(EXIT_UNREACHABLE))

    def test_version_and_help(self) -> None:
        self.assertThat(_RUNNER.invoke(app, ['version']).exit_code, Equals(0))
        self.assertThat(_RUNNER.invoke(app, ['--help']).stdout, Contains('rollout'))


class StatusTest(TestCase):
    """Status, explanation and metrics of an instance."""

    def test_explain_names_who_handles_a_packet(self) -> None:
        network = Network()
        network.run(3)
        instance = network.node_by_name[InstanceId('n0')].instance
        table = (
            (DESK_ADDRESS, 'desk', 'least loaded'),
            (MAPS_ADDRESS, 'maps', 'not known here'),
            (Endpoint('10.0.0.9', 1), '', 'no record'),
        )
        for address, service, reason in table:
            with self.subTest(address=address):
                explanation = explain(instance, address, caller_endpoint(1), network.now)
                self.assertThat(explanation.service, Equals(service))
                self.assertThat(explanation.reason, Contains(reason))

    def test_metrics_have_every_reason(self) -> None:
        network = Network()
        network.run(3)
        instance = network.node_by_name[InstanceId('n0')].instance
        text = render_metrics(lambda: read_status(instance, network.now)).decode()
        families = {family.name: family for family in text_string_to_metric_families(text)}
        reasons = {sample.labels['reason'] for sample in families['berylstair_refusals'].samples}
        self.assertThat(reasons, Equals({kind.value for kind in ErrorKind}))
        versions = families['berylstair_record_version'].samples
        self.assertThat(len(versions), Equals(3))


class _PeerEnd:
    """One instance's end of its peer connections, and the events it received."""

    def __init__(self, name: str, port: int, security: dict[str, str]) -> None:
        settings = {
            'instance': name,
            'zone': 'a-side',
            'fabric': {'mode': 'direct'},
            'source': {'kind': 'directory', 'path': 'x'},
            'peer_security': security,
            'forward_listen': '127.0.0.1:1',
            'backend_listen': '127.0.0.1:1',
            'admin_listen': '127.0.0.1:1',
            'peer_listen': f'127.0.0.1:{port}',
        }
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder) / 'settings.jsonc'
            path.write_text(json.dumps(settings), encoding='utf-8')
            loaded = load_settings(path)
        self.events: list[Any] = []
        self.counters = Counters()
        self.connections = PeerConnections(loaded, self.events.append, self.counters)
        endpoint = Endpoint('127.0.0.1', port)
        self.instance = Instance(InstanceId(name), 'a-side', endpoint, endpoint, endpoint)

    def event_types(self) -> set[type[Any]]:
        """Returns the types of the events received."""
        return {type(event) for event in self.events}


async def _wait_until(condition: Any) -> None:
    async with asyncio.timeout(10):
        while not condition():
            await asyncio.sleep(0.02)


class ArrivingConnection:
    """A connection whose first message has just arrived, and which then stays silent.

    Attributes:
        is_read: Set when the first message is returned.
        is_closed: Ends the reading of further messages.
    """

    def __init__(self, first: bytes) -> None:
        """Prepares the first message."""
        self.is_read = asyncio.Event()
        self.is_closed = asyncio.Event()
        self._first = first

    async def send(self, _data: bytes) -> None:
        """Takes any message."""

    async def recv(self) -> bytes:
        """Returns the first message."""
        await asyncio.sleep(0)
        self.is_read.set()
        return self._first

    def __aiter__(self) -> 'ArrivingConnection':
        """Returns the iterator over further messages."""
        return self

    async def __anext__(self) -> bytes:
        """Waits until the connection is closed."""
        await self.is_closed.wait()
        raise StopAsyncIteration


class PeerConnectionsTest(TestCase):
    """Authorization of peers, replaced connections and malformed messages."""

    def make_peer_ends(self, *securities: dict[str, str]) -> list[_PeerEnd]:
        ports = find_free_ports(len(securities))
        return [
            _PeerEnd(f'n{number}', port, security)
            for number, (port, security) in enumerate(zip(ports, securities, strict=True))
        ]

    def test_mutual_tls(self) -> None:
        authority, unknown_authority = trustme.CA(), trustme.CA()
        with tempfile.TemporaryDirectory() as folder:
            table = (
                ('both certificates valid', authority, 'n1', True),
                ('certificate names another instance', authority, 'n9', False),
                ('authority not trusted', unknown_authority, 'n1', False),
            )
            for case, issuer, name, is_open in table:
                with self.subTest(case=case):
                    first = _write_tls_files(Path(folder), authority, authority, 'n0')
                    second = _write_tls_files(Path(folder), issuer, authority, name)
                    self.assertThat(asyncio.run(self._connects(first, second)), Equals(is_open))

    def test_a_connection_cancelled_as_its_first_message_arrives_ends(self) -> None:
        async def cancel_at_hello() -> bool:
            plaintext = {'mode': 'plaintext'}
            one, two = self.make_peer_ends(plaintext, plaintext)
            hello = encode_message(Hello(two.instance.id, 1, two.instance.zone))
            connection = ArrivingConnection(hello)
            task = asyncio.create_task(one.connections.run_connection(connection, None))
            await connection.is_read.wait()
            # The message is read, and the task is about to learn of it.
            await asyncio.sleep(0)
            task.cancel()
            done, _ = await asyncio.wait({task}, timeout=1)
            connection.is_closed.set()
            return task in done and task.cancelled()

        self.assertThat(asyncio.run(cancel_at_hello()), Equals(True))

    async def _connects(self, first: dict[str, str], second: dict[str, str]) -> bool:
        one, two = self.make_peer_ends(first, second)
        listed = {peer_end.instance.id: peer_end.instance for peer_end in (one, two)}
        await one.connections.start()
        await two.connections.start()
        two.connections.apply_instances(listed)
        one.connections.apply_instances(listed)
        try:
            await _wait_until(
                lambda: PeerOpened in one.event_types() and PeerOpened in two.event_types()
            )
        except TimeoutError:
            return False
        one.connections.send(two.instance.id, HandoverAck(5))
        await _wait_until(lambda: PeerMessage in two.event_types())
        return True

    def test_two_connections_of_one_pair(self) -> None:
        """A peer counts as disconnected only when its last connection closes."""
        asyncio.run(self._connect_twice())

    async def _connect_twice(self) -> None:
        plain = {'mode': 'plaintext'}
        one, two = self.make_peer_ends(plain, plain)
        await two.connections.start()
        dial = one.connections._dial
        tasks = [asyncio.create_task(dial(two.instance.peer, None)) for _ in range(2)]
        await _wait_until(lambda: sum(isinstance(event, PeerOpened) for event in two.events) == 2)
        for closed in (1, 0):
            tasks[closed].cancel()
            await asyncio.sleep(0.3)
            if closed:
                self.assertNotIn(PeerClosed, two.event_types())
                two.connections.send(one.instance.id, HandoverAck(1))
                await _wait_until(lambda: PeerMessage in one.event_types())
        await _wait_until(lambda: PeerClosed in two.event_types())

    def test_malformed_messages_are_counted_and_tolerated(self) -> None:
        asyncio.run(self._send_malformed_messages())

    async def _send_malformed_messages(self) -> None:
        from websockets.asyncio.client import connect

        (peer_end,) = self.make_peer_ends({'mode': 'plaintext'})
        await peer_end.connections.start()
        url = f'ws://{peer_end.instance.peer}'
        for first in (b'\xff', 'text', encode_message(HandoverAck(1))):
            async with connect(url, proxy=None) as link:
                await link.send(first)
                await link.wait_closed()
        async with connect(url, proxy=None) as link:
            await link.send(encode_message(Hello('n7', 1, 'a-side')))
            await link.send(b'\xff\xff')
            await link.send(encode_message(HandoverAck(9)))
            await _wait_until(lambda: PeerMessage in peer_end.event_types())
        refusals = peer_end.counters.refusals
        self.assertThat(refusals[ErrorKind.MALFORMED_MESSAGE], GreaterThan(1))
        self.assertThat(refusals[ErrorKind.UNKNOWN_SENDER], GreaterThan(0))


def _write_tls_files(
    folder: Path, issuer: trustme.CA, trusted: trustme.CA, name: str
) -> dict[str, str]:
    """Writes the TLS files of one instance and returns its security settings."""
    certificate = issuer.issue_cert(name)
    stem = folder / f'{name}-{id(issuer)}'
    certificate.private_key_pem.write_to_path(f'{stem}.key')
    certificate.cert_chain_pems[0].write_to_path(f'{stem}.pem')
    trusted.cert_pem.write_to_path(f'{stem}.ca')
    return {
        'mode': 'mutual_tls',
        'certificate': f'{stem}.pem',
        'key': f'{stem}.key',
        'authority': f'{stem}.ca',
    }
