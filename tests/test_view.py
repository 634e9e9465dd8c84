"""Tests of the record store."""

import json

from testtools import TestCase
from testtools.matchers import Equals

from berylstair.errors import ErrorKind
from berylstair.ids import Endpoint
from berylstair.view import RecordStore
from tests.test_schema import SERVICE_RECORD

ADDRESS = Endpoint('10.0.0.1', 5683)


def service_text(**changes: object) -> str:
    """Returns the JSON text of ``SERVICE_RECORD`` with the given keys changed."""
    return json.dumps({**SERVICE_RECORD, **changes})


class RecordStoreTest(TestCase):
    """Versions only rise; an address has one service and is quarantined after a change."""

    def test_refused_records_leave_version_3_in_force(self) -> None:
        cases = (
            (service_text(version=2), ErrorKind.RECORD_STALE),
            (service_text(), ErrorKind.RECORD_STALE),
            (service_text(quarantine_s=1), ErrorKind.RECORD_CONFLICT),
            (service_text(schema=9), ErrorKind.RECORD_UNKNOWN_SCHEMA),
            (service_text(version=4, addresses=['x']), ErrorKind.RECORD_INVALID),
        )
        for offered, kind in cases:
            with self.subTest(kind=kind, offered=offered):
                store = RecordStore()
                store.apply_record_text('first', service_text(), 0.0)
                refusal = store.apply_record_text('second', offered, 1.0).unwrap_err()
                self.assertThat(refusal.kind, Equals(kind))
                stored = store.stored_by_key['service/desk']
                self.assertThat(stored.record.version.version, Equals(3))

    def test_higher_schema_of_the_same_version_is_newer(self) -> None:
        store = RecordStore()
        old = {
            'kind': 'service',
            'schema': 1,
            'version': 3,
            'name': 'desk',
            'address': '10.0.0.1:5683',
            'mode': 'request',
            'backends': [],
        }
        self.assertTrue(store.apply_record_text('old', json.dumps(old), 0.0).is_ok())
        self.assertTrue(store.apply_record_text('new', service_text(), 0.0).is_ok())
        self.assertTrue(store.apply_record_text('old', json.dumps(old), 0.0).is_err())

    def test_address_listed_by_two_services_is_not_served(self) -> None:
        for first, second in (('desk', 'other'), ('other', 'desk')):
            with self.subTest(first=first):
                store = RecordStore()
                store.apply_record_text('first', service_text(name=first), 0.0)
                store.apply_record_text('second', service_text(name=second), 0.0)
                self.assertNotIn(ADDRESS, store.service_by_address)

    def test_reused_address_is_quarantined(self) -> None:
        store = RecordStore()
        store.apply_record_text('first', service_text(), 0.0)
        store.apply_record_text('gone', service_text(version=4, addresses=[]), 10.0)
        store.apply_record_text('second', service_text(name='other', quarantine_s=5), 20.0)
        self.assertThat(store.service_by_address[ADDRESS].name, Equals('other'))
        self.assertTrue(store.is_quarantined(ADDRESS, 24.0))
        self.assertFalse(store.is_quarantined(ADDRESS, 25.0))
        self.assertThat(store.active_quarantines(24.0)[0].remaining_ms, Equals(1000))
