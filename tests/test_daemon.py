"""Tests of one daemon process with direct fabric and a directory source."""

import asyncio
import json
import subprocess
import sys
import tempfile
from pathlib import Path
from random import Random
from urllib.request import urlopen

from aiocoap.numbers.codes import Code
from testtools import TestCase
from testtools.matchers import Contains, Equals
from typer.testing import CliRunner

from berylstair.cli import EXIT_LAGGING, app
from berylstair.ids import Endpoint, parse_endpoint
from emulator.backend import BackendConfig, EmulatedBackend, make_document
from emulator.caller import CoapCaller, DownloadResult, FlowCaller, RequestResult
from emulator.cluster import wait_until
from emulator.udp import UdpSocket, find_free_ports

BINARY = Path('dist/berylstair')
_MALFORMED_DATAGRAMS = (
    b'',
    b'\xff' * 9,
    b'\x40',
    b'\x40\x1f\x00\x01',
    b'\x48\x01\x00\x01ab',
    b'x' * 5000,
)


class DaemonTest(TestCase):
    """The program serves callers, answers operators' commands and stops.

    Runs the single-file program if it has been built, else the package.
    """

    def setUp(self) -> None:
        super().setUp()
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = Path(folder.name)
        ports = [f'127.0.0.1:{port}' for port in find_free_ports(8)]
        self.request_address, self.flow_address, self.backend_address, self.admin_address = ports[
            :4
        ]
        self.endpoints = dict(
            zip(('peer', 'forward', 'backend', 'spare'), ports[4:], strict=True),
        )
        (self.folder / 'records').mkdir()
        self.publish(version=1)
        command = [str(BINARY)] if BINARY.exists() else [sys.executable, '-m', 'berylstair']
        path = self.folder / 'settings.jsonc'
        path.write_text(json.dumps(self.settings()), encoding='utf-8')
        self.process = subprocess.Popen(
            [*command, 'serve', '--settings', str(path)],
            stderr=subprocess.DEVNULL,
        )
        self.addCleanup(self.process.wait)
        self.addCleanup(self.process.kill)
        wait_until(self.is_witness, 'the daemon serves')

    def settings(self) -> dict[str, object]:
        return {
            'instance': 'n1',
            'zone': 'a-side',
            'fabric': {'mode': 'direct'},
            'source': {'kind': 'directory', 'path': str(self.folder / 'records')},
            'peer_security': {'mode': 'plaintext'},
            'peer_listen': self.endpoints['peer'],
            'forward_listen': self.endpoints['forward'],
            'backend_listen': self.endpoints['backend'],
            'admin_listen': self.admin_address,
            'limits': {'request_lifetime_s': 3, 'linger_s': 0.5},
        }

    def publish(self, version: int) -> None:
        server = {'id': 's1', 'zone': 'a-side', 'address': self.backend_address, 'slots': 3}
        for name, address, kind in (
            ('desk', self.request_address, 'request'),
            ('maps', self.flow_address, 'flow'),
        ):
            record = {
                'kind': 'service',
                'schema': 2,
                'version': version,
                'name': name,
                'addresses': [address],
                'contract': {'kind': kind},
                'backend_servers': [server],
            }
            self.write(name, record)
        instance = {
            'id': 'n1',
            'zone': 'a-side',
            'peer': self.endpoints['peer'],
            'forward': self.endpoints['forward'],
            'admin': self.admin_address,
        }
        self.write(
            'instances',
            {'kind': 'instances', 'schema': 2, 'version': 1, 'instances': [instance]},
        )

    def write(self, name: str, record: dict[str, object]) -> None:
        path = self.folder / 'records' / f'{name}.jsonc'
        path.write_text(json.dumps(record), encoding='utf-8')

    def is_witness(self) -> bool:
        result = CliRunner().invoke(app, ['status', '--json', '--admin', self.admin_address])
        return result.exit_code == 0 and json.loads(result.stdout)['is_witness']

    def test_serves_reports_and_stops(self) -> None:
        posted, download = asyncio.run(self.send_requests())
        self.assertThat(posted.code, Equals(Code.CREATED))
        self.assertThat(download.content, Equals(make_document('m')))
        self.check_commands()
        self.process.terminate()
        self.assertThat(self.process.wait(timeout=30), Equals(0))

    async def send_requests(self) -> tuple[RequestResult, DownloadResult]:
        listen = parse_endpoint(self.backend_address)
        EmulatedBackend(BackendConfig('s1', ('desk', 'maps'), listen))
        unknown_sender = UdpSocket(Endpoint('127.0.0.1', 0), lambda data, source: None)
        targets = [self.request_address, *(self.endpoints[name] for name in ('backend', 'forward'))]
        for target in targets:
            for datagram in _MALFORMED_DATAGRAMS:
                unknown_sender.send(datagram, parse_endpoint(target))
        posted = await CoapCaller(Random(1)).send_request(
            self.request_address, Code.POST, '/reports', b'r1'
        )
        return posted, await FlowCaller(self.flow_address).download('m')

    def check_commands(self) -> None:
        runner = CliRunner()
        admin = ['--admin', self.admin_address]
        key = ['--key', 'service/desk']
        lagging_result = runner.invoke(app, ['rollout', '2', *key, *admin])
        self.assertThat(lagging_result.exit_code, Equals(EXIT_LAGGING))
        self.assertThat(lagging_result.stdout, Contains('n1: version 1 is in force'))
        self.publish(version=2)
        rollout_result = runner.invoke(app, ['rollout', '2', *key, *admin, '--wait', '6'])
        self.assertThat(rollout_result.exit_code, Equals(0))
        explain_result = runner.invoke(app, ['explain', self.flow_address, '127.0.0.1:1', *admin])
        self.assertThat(explain_result.stdout, Contains('service: maps'))
        status_result = runner.invoke(app, ['status', *admin])
        self.assertThat(status_result.stdout, Contains('malformed_header'))
        with urlopen(f'http://{self.admin_address}/metrics', timeout=5) as response:
            self.assertThat(response.read(), Contains(b'berylstair_record_version{key='))
