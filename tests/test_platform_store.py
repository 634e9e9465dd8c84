"""Tests of the client of the platform's store against an emulated store."""

from typing import Any
from unittest import mock

from testtools import TestCase
from testtools.matchers import Equals

from berylstair.directory import Position
from berylstair.directory_source import HistoryLost, SourceListing, SourceRestored
from berylstair.errors import SourceError
from berylstair.ids import Endpoint
from berylstair.platform.store import StoreSource
from emulator.platform_store import PAGE_ITEMS, PlatformStore, StoreFault

ITEM = {'key': 'a', 'value': 'eA==', 'rev': 5, 'create_rev': 5, 'lease': 0}
# Answers of both calls that a store with a fault may give with status 200.
BROKEN_ANSWERS: tuple[dict[str, Any], ...] = (
    {},
    {'items': [], 'events': [], 'has_more': False},
    {'items': [], 'events': [], 'has_more': False, 'store_revision': 'x'},
    {'items': None, 'events': None, 'has_more': False, 'store_revision': 7},
    {'items': 3, 'events': 3, 'has_more': False, 'store_revision': 7},
    *(
        {'items': [entry], 'events': [entry], 'has_more': False, 'store_revision': 7}
        for entry in (
            None,
            'a',
            ITEM | {'value': '!'},
            ITEM | {'value': None},
            ITEM | {'rev': None},
            ITEM | {'rev': 'x'},
            {name: ITEM[name] for name in ('value', 'rev')},
            {name: ITEM[name] for name in ('key', 'rev')},
            {name: ITEM[name] for name in ('key', 'value')},
        )
    ),
)


class StoreTest(TestCase):
    """Listings, watches and failures; each test starts its own store."""

    def setUp(self) -> None:
        """Starts an emulated store and a client."""
        super().setUp()
        self.store = PlatformStore(Endpoint('127.0.0.1', 0))
        self.addCleanup(self.store.close)
        self.source = StoreSource(self.store.endpoint)
        self.addCleanup(self.source.close)

    def test_a_listing_of_several_pages(self) -> None:
        for number in range(PAGE_ITEMS * 2 + 1):
            self.store.put(f'servers/i-{number:03d}', {'n': number})
        listing = self.source.read_all()
        self.assertThat(len(listing.changes), Equals(PAGE_ITEMS * 2 + 1))
        self.assertThat(listing.changes[3].value, Equals(b'{"n": 3}'))

    def test_pages_that_repeat_end_the_listing(self) -> None:
        page = {'items': [ITEM], 'has_more': True, 'store_revision': 7}
        with mock.patch.object(self.store, 'handle_request', return_value=(200, page)):
            self.assertRaises(SourceError, self.source.read_all)

    def test_changes_after_a_revision(self) -> None:
        first = self.store.put('a', 'x')
        self.store.put('b', 'y')
        last = self.store.remove('a')
        listing = self.source.watch(Position(1, first), 0)
        self.assertThat(listing.position, Equals(Position(1, last)))
        changes = [(change.key, change.value) for change in listing.changes]
        self.assertThat(changes, Equals([('b', b'y'), ('a', None)]))

    def test_nothing_changed(self) -> None:
        revision = self.store.put('a', 'x')
        listing = self.source.watch(Position(1, revision), 0)
        self.assertThat(listing, Equals(SourceListing(Position(1, revision), ())))

    def test_store_failures_raise_source_error(self) -> None:
        self.store.put('a', 'x')
        for fault in (StoreFault.BUSY, StoreFault.RESET, StoreFault.SILENT):
            self.store.fault = fault
            self.assertRaises(SourceError, self.source.read_all)
            self.assertRaises(SourceError, self.source.watch, Position(1, 1), 0)
        self.store.fault = StoreFault.NONE
        self.assertThat(len(self.source.read_all().changes), Equals(1))

    def test_a_forgotten_history(self) -> None:
        self.store.put('a', 'x')
        self.store.put('a', 'y')
        self.store.compact_history()
        self.assertRaises(HistoryLost, self.source.watch, Position(1, 1), 0)

    def test_a_watch_from_a_revision_that_was_given_out_again(self) -> None:
        copy = self.store.make_copy()
        lost = self.store.put('a', 'x')
        self.store.restore(copy)
        for key in 'bcd':
            self.store.put(key, 'y')
        self.assertRaises(SourceRestored, self.source.watch, Position(1, lost), 0)
        listing = self.source.read_all()
        self.assertThat(listing.position, Equals(Position(2, lost + 2)))
        self.assertThat([change.key for change in listing.changes], Equals(['b', 'c', 'd']))
        self.assertThat({change.position.era for change in listing.changes}, Equals({2}))

    def test_a_watch_from_a_revision_that_the_restored_store_does_not_have(self) -> None:
        copy = self.store.make_copy()
        lost = self.store.put('a', 'x')
        self.store.restore(copy)
        self.assertRaises(SourceRestored, self.source.watch, Position(1, lost), 0)

    def test_a_revision_that_the_store_does_not_take_needs_a_listing(self) -> None:
        with mock.patch.object(self.store, 'handle_request', return_value=(400, {})):
            self.assertRaises(HistoryLost, self.source.watch, Position(1, 1 << 62), 0)

    def test_an_answer_of_an_earlier_era_raises_source_error(self) -> None:
        revision = self.store.put('a', 'x')
        error = self.assertRaises(SourceError, self.source.watch, Position(2, revision), 0)
        self.assertThat(isinstance(error, HistoryLost), Equals(False))

    def test_a_restore_between_two_pages_of_a_listing(self) -> None:
        for number in range(PAGE_ITEMS + 1):
            self.store.put(f'servers/i-{number:03d}', {'n': number})
        copy = self.store.make_copy()
        handle_request = self.store.handle_request

        def restore_before_second_page(path: str, query: dict[str, str]) -> Any:
            if 'after' in query:
                self.store.restore(copy)
            return handle_request(path, query)

        with mock.patch.object(self.store, 'handle_request', restore_before_second_page):
            self.assertRaises(SourceRestored, self.source.read_all)

    def test_an_era_that_is_no_number_raises_source_error(self) -> None:
        self.store.era = 'x'
        self.assertRaises(SourceError, self.source.read_all)

    def test_broken_answers_raise_source_error(self) -> None:
        self.store.put('a', 'x')
        for answer in BROKEN_ANSWERS:
            with (
                self.subTest(answer=answer),
                mock.patch.object(self.store, 'handle_request', return_value=(200, answer)),
            ):
                self.assertRaises(SourceError, self.source.read_all)
                self.assertRaises(SourceError, self.source.watch, Position(1, 1), 0)
        self.assertThat(len(self.source.read_all().changes), Equals(1))
