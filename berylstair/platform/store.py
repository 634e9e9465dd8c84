"""Read-only client of the platform's store: range reads and watches."""

import json
from base64 import b64decode
from collections.abc import Callable
from http.client import HTTPConnection, HTTPException
from typing import Any, NamedTuple
from urllib.parse import urlencode

from berylstair.directory import Position, SourceChange
from berylstair.directory_source import (
    DirectorySource,
    HistoryLost,
    PositionNotReached,
    SourceListing,
    SourceRestored,
)
from berylstair.errors import SourceError
from berylstair.ids import Endpoint
from berylstair.platform.items import CONFIGURATION_KEY, EVACUATION_PREFIX

__all__ = ['StoreSource']

# Rises by one each time the store is restored from a copy.
_ERA_HEADER = 'Store-Era'
# The history after a revision is gone, or the store does not take the revision.
_POSITION_STATUSES = frozenset((400, 410))
_HTTP_OK = 200
_MS_PER_S = 1000
# The store answers within milliseconds; more than half a second means a fault.
ANSWER_TIMEOUT_S = 0.6
# A server's entry has some 200 bytes; the store takes values of up to 1 MB.
MAX_ENTRY_BYTES = 16_384
# What reading bytes that may be anything can raise.
_DECODING_ERRORS = (
    ValueError,
    TypeError,
    LookupError,
    AttributeError,
    ArithmeticError,
    RecursionError,
)


class _Answer(NamedTuple):
    """Content of a successful answer.

    Attributes:
        era: The store's era when it answered.
        body: JSON object that it answered with.
    """

    era: int
    body: dict[str, Any]


class _Page(NamedTuple):
    """Decoded answer to one call.

    Attributes:
        position: The store's position when it answered.
        changes: Items or events.
        has_more: Whether further items follow on the next page.
    """

    position: Position
    changes: tuple[SourceChange, ...]
    has_more: bool = False


class StoreSource(DirectorySource):
    """Reads the store over HTTP/1.1, one connection at a time."""

    def __init__(self, endpoint: Endpoint) -> None:
        """Prepares the client, which connects at the first call.

        Args:
            endpoint: Endpoint of the store.
        """
        self._endpoint = endpoint
        self._connection: HTTPConnection | None = None

    def read_all(self) -> SourceListing:
        """Reads all items, page by page.

        Returns:
            The items, and the position at which the first page was read. The
            pages are not a consistent snapshot, so changes after that position
            have to be read again.

        Raises:
            SourceRestored: The store was restored between two pages.
            SourceError: The store cannot be read now.
        """
        listed_items: list[SourceChange] = []
        after_key = ''
        position: Position | None = None
        has_more = True
        while has_more:
            query = {'prefix': '', 'after': after_key} if after_key else {'prefix': ''}
            era = position.era if position else None
            page = self._query('/berylstair/kv-range', query, ANSWER_TIMEOUT_S, era, _decode_page)
            position = position or page.position
            listed_items.extend(page.changes)
            has_more = page.has_more and bool(page.changes)
            after_key = _find_last_key(page, after_key)
        return SourceListing(position or page.position, tuple(listed_items))

    def watch(self, after: Position, wait_s: float) -> SourceListing:
        """Waits for changes after a position.

        Args:
            after: Position up to which all changes are known.
            wait_s: Seconds for which the store waits for a change.

        Returns:
            The changes; empty if nothing changed.

        Raises:
            SourceRestored: The position is of an earlier era.
            HistoryLost: The store no longer has all changes after the position.
            PositionNotReached: The position is of a later era than the store's.
            SourceError: The store cannot be read now.
        """
        query = {'prefix': '', 'after': after.revision, 'wait_ms': int(wait_s * _MS_PER_S)}
        answer = self._query(
            '/berylstair/kv-watch', query, wait_s + ANSWER_TIMEOUT_S, after.era, _decode_events
        )
        newest = max((event.position for event in answer.changes), default=answer.position)
        position = max(answer.position, newest)
        if position < after:
            raise HistoryLost(f'answer of revision {position.revision}, {after.revision} before')
        return SourceListing(position, answer.changes)

    def close(self) -> None:
        """Closes the connection; a call in another thread then fails with an error."""
        if self._connection is not None:
            self._connection.close()
            self._connection = None

    def _query(
        self,
        path: str,
        query: dict[str, Any],
        timeout_s: float,
        era: int | None,
        decode: Callable[[_Answer], _Page],
    ) -> _Page:
        """Calls the store and decodes its answer.

        Raises:
            SourceRestored: The answer is of a later era than the one given.
            HistoryLost: The store no longer has the changes that were asked for.
            PositionNotReached: The answer is of an earlier era than the one given.
            SourceError: The store did not answer, or not in its own format.
        """
        try:
            return decode(self._get_answer(f'{path}?{urlencode(query)}', timeout_s, era))
        except (OSError, HTTPException) as error:
            self.close()
            raise SourceError(f'{type(error).__name__}: {error}') from error
        except _DECODING_ERRORS as error:
            self.close()
            raise SourceError(f'answer cannot be decoded: {error!r}') from error

    def _get_answer(self, target: str, timeout_s: float, known_era: int | None) -> _Answer:
        connection = self._open_connection(timeout_s)
        connection.request('GET', target)
        response = connection.getresponse()
        body = response.read()
        era = int(response.headers.get(_ERA_HEADER, 0))
        # The store accepts a revision of an earlier era once it has given it out again.
        if known_era is not None and era > known_era:
            raise SourceRestored(f'restored: era {era}, {known_era} before')
        if known_era is not None and era < known_era:
            raise PositionNotReached(f'answer of era {era}, expected {known_era}')
        if response.status in _POSITION_STATUSES:
            raise HistoryLost(
                f'HTTP status {response.status}: the store has no changes after the revision'
            )
        if response.status != _HTTP_OK:
            raise SourceError(f'expected HTTP status 200, got {response.status}')
        loaded = json.loads(body)
        if not isinstance(loaded, dict):
            raise TypeError('not a JSON object')
        return _Answer(era, loaded)

    def _open_connection(self, timeout_s: float) -> HTTPConnection:
        connection = self._connection
        if connection is None:
            connection = HTTPConnection(*self._endpoint, timeout=ANSWER_TIMEOUT_S)
            connection.connect()
            self._connection = connection
        # A response that does not keep the connection alive closes its socket.
        if connection.sock is None:
            connection.connect()
        connection.sock.settimeout(timeout_s)
        return connection


def _find_last_key(page: _Page, after_key: str) -> str:
    """Returns the key behind which the next page begins.

    Raises:
        SourceError: The page does not go on behind the one before.
    """
    if not page.changes:
        return after_key
    last_key = page.changes[-1].key
    if last_key <= after_key:
        raise SourceError(f'a page after {after_key!a} does not go on behind it')
    return last_key


def _decode_page(answer: _Answer) -> _Page:
    changes = tuple(_decode_item(entry, answer.era) for entry in answer.body['items'])
    return _Page(_decode_position(answer), changes, bool(answer.body['has_more']))


def _decode_events(answer: _Answer) -> _Page:
    changes = tuple(_decode_item(event, answer.era) for event in answer.body['events'])
    return _Page(_decode_position(answer), changes)


def _decode_position(answer: _Answer) -> Position:
    return Position(answer.era, int(answer.body['store_revision']))


def _decode_item(entry: dict[str, Any], era: int) -> SourceChange:
    value = None if entry.get('tombstone') else b64decode(entry['value'], validate=True)
    key = str(entry['key'])
    if value is not None and key != CONFIGURATION_KEY and len(value) > MAX_ENTRY_BYTES:
        # A listing may hold many of them, and none is an entry of a server.
        value = b''
    if value is not None and key.startswith(EVACUATION_PREFIX):
        # Only the key counts, so the instances need not pass the value on.
        value = b''
    return SourceChange(key, Position(era, int(entry['rev'])), value)
