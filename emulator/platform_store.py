"""Emulated store of the users' platform, served over HTTP."""

import json
import threading
import time
from base64 import b64encode
from dataclasses import dataclass, field
from enum import Enum, unique
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from typing import Any
from urllib.parse import parse_qs, urlsplit

from berylstair.ids import Endpoint

__all__ = ['PlatformStore', 'StoreCopy', 'StoreFault']

PAGE_ITEMS = 50
SILENT_FAULT_S = 5.0


@unique
class StoreFault(Enum):
    """Fault of the store.

    Attributes:
        NONE: Works normally.
        BUSY: Answers every call with status 503.
        RESET: Closes the connection without an answer.
        SILENT: Sends no answer and closes the connection after ``SILENT_FAULT_S``.
        WATCH_SILENT: Watches report no events, though reads are answered.
        SLOW: Answers every call 0.2 s late.
    """

    NONE = 'none'
    BUSY = 'busy'
    RESET = 'reset'
    SILENT = 'silent'
    WATCH_SILENT = 'deaf'
    SLOW = 'slow'


@dataclass(frozen=True, slots=True)
class StoreCopy:
    """Content of the store at a revision."""

    revision: int
    compacted_revision: int
    items: dict[str, dict[str, Any]]
    events: list[dict[str, Any]] = field(default_factory=list)


class PlatformStore:
    """Key-value store with one revision counter and a history that can be compacted.

    Attributes:
        call_count: Calls answered so far, including those with an error.
        era: Rises by one with each restore; sent in the header ``Store-Era``.
        fault: Fault in effect.
        endpoint: Where it serves.
    """

    def __init__(self, listen: Endpoint) -> None:
        """Starts serving on a thread of its own; port 0 selects any free port."""
        self.call_count = 0
        self.era = 1
        self.fault = StoreFault.NONE
        self._changed = threading.Condition()
        self._revision = 1
        self._compacted_revision = 1
        self._items: dict[str, dict[str, Any]] = {}
        self._events: list[dict[str, Any]] = []
        self._server = _Server(listen, _make_handler_class(self))
        self.endpoint = Endpoint(listen.ip, self._server.server_address[1])
        threading.Thread(target=self._server.serve_forever, daemon=True).start()

    def put(self, key: str, value: Any) -> int:
        """Writes an item, a value other than text or bytes as JSON, and returns its revision."""
        text = value if isinstance(value, (str, bytes)) else json.dumps(value)
        data = text if isinstance(text, bytes) else text.encode()
        with self._changed:
            self._revision += 1
            item = {
                'key': key,
                'value': b64encode(data).decode(),
                'rev': self._revision,
                'create_rev': self._items.get(key, {}).get('create_rev', self._revision),
                'lease': 0,
            }
            self._items[key] = item
            self._events.append(item)
            self._changed.notify_all()
            return self._revision

    def remove(self, key: str) -> int:
        """Removes an item and returns the revision of the removal."""
        with self._changed:
            self._revision += 1
            self._items.pop(key, None)
            self._events.append({'key': key, 'rev': self._revision, 'tombstone': True})
            self._changed.notify_all()
            return self._revision

    def compact_history(self) -> None:
        """Drops the history; watches from older revisions get status 410."""
        with self._changed:
            self._compacted_revision = self._revision
            self._events = []

    def find_keys(self, prefix: str) -> set[str]:
        """Returns the keys of the items that begin with a prefix."""
        with self._changed:
            return {key for key in self._items if key.startswith(prefix)}

    def make_copy(self) -> StoreCopy:
        """Returns a copy of the content, for ``restore``."""
        with self._changed:
            return StoreCopy(
                self._revision, self._compacted_revision, dict(self._items), list(self._events)
            )

    def restore(self, copy: StoreCopy) -> None:
        """Goes back to a copy, which loses all later writes and reuses their revisions.

        Watches that wait are cut.
        """
        with self._changed:
            self.era += 1
            self._revision = copy.revision
            self._compacted_revision = copy.compacted_revision
            self._items = dict(copy.items)
            self._events = list(copy.events)
            self._changed.notify_all()

    def close(self) -> None:
        """Stops serving."""
        self._server.shutdown()
        self._server.server_close()

    def handle_request(self, path: str, query: dict[str, str]) -> tuple[int, dict[str, Any]] | None:
        """Answers one call.

        Args:
            path: Path of the URL.
            query: Parameters of the URL's query.

        Returns:
            HTTP status and body, None to close the connection without an answer.
        """
        self.call_count += 1
        if self.fault is StoreFault.BUSY:
            return 503, {}
        if self.fault is StoreFault.SLOW:
            time.sleep(0.2)
        if path.endswith('/kv-range'):
            return 200, self._read_range(query)
        if path.endswith('/kv-watch'):
            return self._wait_for_events(query)
        return 404, {}

    def _read_range(self, query: dict[str, str]) -> dict[str, Any]:
        with self._changed:
            keys = sorted(
                key
                for key in self._items
                if key.startswith(query.get('prefix', '')) and key > query.get('after', '')
            )
            page = keys[:PAGE_ITEMS]
            return {
                'items': [self._items[key] for key in page],
                'has_more': len(keys) > len(page),
                'store_revision': self._revision,
            }

    def _wait_for_events(self, query: dict[str, str]) -> tuple[int, dict[str, Any]] | None:
        after_revision = int(query['after'])
        deadline = time.monotonic() + int(query['wait_ms']) / 1000
        with self._changed:
            if not self._compacted_revision <= after_revision <= self._revision:
                return 410, {}
            era = self.era
            while era == self.era:
                events = [event for event in self._events if event['rev'] > after_revision]
                if self.fault is StoreFault.WATCH_SILENT:
                    events = []
                remaining_s = deadline - time.monotonic()
                if events or remaining_s <= 0:
                    break
                self._changed.wait(remaining_s)
            else:
                return None
            revision = events[-1]['rev'] if events else after_revision
            return 200, {'events': events, 'store_revision': revision}


class _Server(ThreadingHTTPServer):
    daemon_threads = True

    def handle_error(self, *_request: Any) -> None:
        """Prints nothing: clients that close their connection early are part of the tests."""


def _make_handler_class(store: PlatformStore) -> type[BaseHTTPRequestHandler]:
    class Handler(BaseHTTPRequestHandler):
        protocol_version = 'HTTP/1.1'

        def do_GET(self) -> None:
            if store.fault is StoreFault.RESET:
                self.close_connection = True
                return
            if store.fault is StoreFault.SILENT:
                time.sleep(SILENT_FAULT_S)
                self.close_connection = True
                return
            target = urlsplit(self.path)
            query = {key: values[0] for key, values in parse_qs(target.query).items()}
            answer = store.handle_request(target.path, query)
            if answer is None:
                self.close_connection = True
                return
            status, body = answer
            data = json.dumps(body).encode()
            self.send_response(status)
            self.send_header('Content-Type', 'application/json')
            self.send_header('Store-Era', str(store.era))
            self.send_header('Content-Length', str(len(data)))
            self.end_headers()
            self.wfile.write(data)

        def log_message(self, *_args: Any) -> None:
            """Logs nothing."""

    return Handler
