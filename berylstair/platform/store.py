"""Read-only client of the platform's store: range reads and watches."""

import json
from base64 import b64decode
from collections.abc import Callable
from http.client import HTTPConnection, HTTPException
from typing import Any, NamedTuple
from urllib.parse import urlencode

from berylstair.directory import SourceChange
from berylstair.directory_source import DirectorySource, HistoryLost, SourceListing
from berylstair.errors import SourceError
from berylstair.ids import Endpoint

__all__ = ['StoreSource']

# Rises by one each time the store is restored from a copy.
_ERA_HEADER = 'Store-Era'
_HTTP_GONE = 410
_HTTP_OK = 200
_MS_PER_S = 1000
# The store answers within milliseconds; more than half a second means a fault.
ANSWER_TIMEOUT_S = 0.6


class _Page(NamedTuple):
    """Decoded answer to one call.

    Attributes:
        revision: The store's revision when it answered.
        changes: Items or events.
        has_more: Whether further items follow on the next page.
        era: Number of times that the store was restored from a copy.
    """

    revision: int
    changes: tuple[SourceChange, ...]
    has_more: bool = False
    era: int = 0


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
            The items, and the revision at which the first page was read. The
            pages are not a consistent snapshot, so changes after that revision
            have to be read again.

        Raises:
            SourceError: The store cannot be read now.
        """
        listed_items: list[SourceChange] = []
        after_key = ''
        revision = 0
        has_more = True
        while has_more:
            query = {'prefix': '', 'after': after_key} if after_key else {'prefix': ''}
            page = self._query('/berylstair/kv-range', query, ANSWER_TIMEOUT_S, _decode_page)
            revision = revision or page.revision
            listed_items.extend(page.changes)
            has_more = page.has_more and bool(page.changes)
            after_key = listed_items[-1].key if listed_items else ''
        return SourceListing(revision, tuple(listed_items), page.era)

    def watch(self, after_revision: int, wait_s: float) -> SourceListing:
        """Waits for changes after a revision.

        Args:
            after_revision: Revision up to which all changes are known.
            wait_s: Seconds for which the store waits for a change.

        Returns:
            The changes; empty if nothing changed.

        Raises:
            HistoryLost: The store no longer has all changes after the revision.
            SourceError: The store cannot be read now.
        """
        query = {'prefix': '', 'after': after_revision, 'wait_ms': int(wait_s * _MS_PER_S)}
        answer = self._query(
            '/berylstair/kv-watch', query, wait_s + ANSWER_TIMEOUT_S, _decode_events
        )
        newest = max((event.revision for event in answer.changes), default=after_revision)
        return SourceListing(max(answer.revision, newest), answer.changes, answer.era)

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
        decode: Callable[[dict[str, Any]], _Page],
    ) -> _Page:
        """Calls the store and decodes its answer.

        Raises:
            HistoryLost: The store no longer has the changes that were asked for.
            SourceError: The store did not answer, or not in its own format.
        """
        try:
            answer, era = self._get_json(f'{path}?{urlencode(query)}', timeout_s)
            return decode(answer)._replace(era=era)
        except (OSError, HTTPException) as error:
            self.close()
            raise SourceError(f'{type(error).__name__}: {error}') from error
        except (ValueError, KeyError, TypeError, AttributeError) as error:
            self.close()
            raise SourceError(f'answer cannot be decoded: {error!r}') from error

    def _get_json(self, target: str, timeout_s: float) -> tuple[dict[str, Any], int]:
        """Returns the JSON object that the store answers, and the store's era."""
        connection = self._open_connection(timeout_s)
        connection.request('GET', target)
        response = connection.getresponse()
        body = response.read()
        if response.status == _HTTP_GONE:
            raise HistoryLost(
                'HTTP status 410: the store no longer has the changes after the revision'
            )
        if response.status != _HTTP_OK:
            raise SourceError(f'expected HTTP status 200, got {response.status}')
        loaded = json.loads(body)
        if not isinstance(loaded, dict):
            raise TypeError('not a JSON object')
        return loaded, int(response.headers.get(_ERA_HEADER, 0))

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


def _decode_page(answer: dict[str, Any]) -> _Page:
    changes = tuple(_decode_item(entry) for entry in answer['items'])
    return _Page(int(answer['store_revision']), changes, bool(answer['has_more']))


def _decode_events(answer: dict[str, Any]) -> _Page:
    changes = tuple(_decode_item(event) for event in answer['events'])
    return _Page(int(answer['store_revision']), changes)


def _decode_item(entry: dict[str, Any]) -> SourceChange:
    value = None if entry.get('tombstone') else b64decode(entry['value'], validate=True)
    return SourceChange(str(entry['key']), int(entry['rev']), value)
