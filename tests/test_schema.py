"""Tests of the parsing and validation of records."""

import json
from pathlib import Path

from testtools import TestCase
from testtools.matchers import Contains, Equals

from berylstair.record import BackendState, ServiceRecord
from berylstair.schema import parse_record

SERVICE_RECORD = {
    'kind': 'service',
    'schema': 2,
    'version': 3,
    'name': 'desk',
    'addresses': ['10.0.0.1:5683'],
    'contract': {'kind': 'request'},
    'backend_servers': [
        {'id': 's1', 'zone': 'a-side', 'address': '10.1.0.1:7000', 'slots': 3},
    ],
}
INVALID_VALUES = (
    ('addresses', ['10.0.0.1'], 'addresses.0', 'IP:PORT'),
    ('addresses', ['10.0.0.1:0'], 'addresses.0', 'port from 1'),
    ('addresses', ['10.0.0.1:1', '10.0.0.1:1'], 'addresses', 'twice'),
    ('contract', {'kind': 'stream'}, 'contract.kind', 'flow, request'),
    ('contract', {'kind': 'flow', 'speed': 1}, 'contract.speed', 'Unknown'),
    ('version', 0, 'version', 'greater than or equal to 1'),
    ('name', 'Desk!', 'name', 'a-z'),
    ('schema', 3, 'schema', '1 or 2'),
    ('kind', ['x'], 'schema', 'service or instances'),
    ('backend_servers', [{'id': 's1'}], 'backend_servers.0.zone', 'Missing'),
)


class ParseRecordTest(TestCase):
    """Valid records load; problems of invalid ones name place, key and what is allowed."""

    def test_problems_name_key_and_allowed_values(self) -> None:
        for key, value, problem_key, expected_text in INVALID_VALUES:
            with self.subTest(key=key, value=value):
                problems = parse_record(
                    'file', json.dumps({**SERVICE_RECORD, key: value})
                ).unwrap_err()
                fault_by_key = {problem.key: problem.fault for problem in problems}
                self.assertThat(fault_by_key, Contains(problem_key))
                self.assertThat(fault_by_key[problem_key], Contains(expected_text))

    def test_text_that_is_not_an_object_is_refused(self) -> None:
        for text in ('', '[]', '{', '{"kind": }', '[' * 100_000):
            with self.subTest(text=text[:10]):
                self.assertTrue(parse_record('file', text).is_err())

    def test_schema_1_loads_like_schema_2(self) -> None:
        old = {
            'kind': 'service',
            'schema': 1,
            'version': 3,
            'name': 'desk',
            'address': '10.0.0.1:5683',
            'mode': 'request',
            'backends': [
                {
                    'id': 's1',
                    'zone': 'a-side',
                    'address': '10.1.0.1:7000',
                    'slots': 3,
                    'draining': True,
                },
            ],
        }
        record = parse_record('old', json.dumps(old)).unwrap()
        newer = parse_record('new', json.dumps(SERVICE_RECORD)).unwrap()
        self.assertIsInstance(record, ServiceRecord)
        self.assertThat(record.addresses, Equals(newer.addresses))
        self.assertThat(record.contract, Equals(newer.contract))
        self.assertThat(record.backend_servers[0].state, Equals(BackendState.LEAVING))

    def test_examples_are_valid(self) -> None:
        files = sorted(Path('examples').rglob('*.jsonc'))
        self.assertTrue(files)
        for file in files:
            if 'settings' in file.name:
                continue
            with self.subTest(file=file.name):
                self.assertTrue(parse_record(file.name, file.read_text()).is_ok())
