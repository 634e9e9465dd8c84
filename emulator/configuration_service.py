"""Emulated configuration service of the platform."""

import json
import threading
import time
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from typing import Any
from urllib.parse import parse_qs, urlsplit

from berylstair.ids import Endpoint

__all__ = ['ConfigurationService']


class ConfigurationService:
    """Serves record texts by revision; can be made unavailable, slow or stale.

    Attributes:
        read_count: Reads received so far, including those refused.
    """

    def __init__(self, listen: Endpoint) -> None:
        """Starts serving in a separate thread."""
        self.read_count = 0
        self._record_texts: list[str] = []
        self._changed = threading.Condition()
        self._is_unavailable = False
        self._stale_revision: int | None = None
        self._era = 1
        self._delay_s = 0.0
        ThreadingHTTPServer.daemon_threads = True
        ThreadingHTTPServer.request_queue_size = 256
        self._server = ThreadingHTTPServer(listen, _make_handler_class(self))
        threading.Thread(target=self._server.serve_forever, daemon=True).start()

    def publish(self, text: str) -> int:
        """Appends a record as an operator would; returns the new revision."""
        with self._changed:
            self._record_texts.append(text)
            self._changed.notify_all()
            return len(self._record_texts)

    def restore(self, revision: int) -> None:
        """Loses the records after a revision, as if restored from a copy."""
        with self._changed:
            self._era += 1
            self._record_texts = self._record_texts[:revision]

    def set_unavailable(self, is_unavailable: bool) -> None:
        """Answers every read with 503, or serves again."""
        with self._changed:
            self._is_unavailable = is_unavailable
            self._changed.notify_all()

    def set_stale_revision(self, revision: int | None) -> None:
        """Serves only up to an old revision, as a lagging replica does; None ends this."""
        with self._changed:
            self._stale_revision = revision
            self._changed.notify_all()

    def set_delay(self, delay_s: float) -> None:
        """Delays the handling of each read."""
        self._delay_s = delay_s

    def close(self) -> None:
        """Stops serving."""
        self._server.shutdown()
        self._server.server_close()

    def handle_read(self, request_target: str) -> tuple[int, dict[str, Any]]:
        """Handles a read, waiting up to ``wait_s`` for a revision after ``after``.

        Args:
            request_target: Path and query; ``after`` and ``wait_s`` default to 0.

        Returns:
            HTTP status, and the JSON content: era, revision and records after ``after``.
        """
        self.read_count += 1
        query = parse_qs(urlsplit(request_target).query)
        after_revision = int(query.get('after', ['0'])[0])
        wait_s = float(query.get('wait_s', ['0'])[0])
        time.sleep(self._delay_s)
        with self._changed:
            self._changed.wait_for(
                lambda: self._is_unavailable or self._last_revision() > after_revision, wait_s
            )
            if self._is_unavailable:
                return 503, {}
            last_revision = self._last_revision()
            return 200, {
                'era': self._era,
                'revision': last_revision,
                'records': self._record_texts[after_revision:last_revision],
            }

    def _last_revision(self) -> int:
        return len(self._record_texts) if self._stale_revision is None else self._stale_revision


def _make_handler_class(service: ConfigurationService) -> type[BaseHTTPRequestHandler]:
    class Handler(BaseHTTPRequestHandler):
        """Serves GET requests."""

        def do_GET(self) -> None:
            """Sends the response to one read."""
            status, content = service.handle_read(self.path)
            body = json.dumps(content).encode()
            try:
                self.send_response(status)
                self.send_header('Content-Length', str(len(body)))
                self.end_headers()
                self.wfile.write(body)
            except OSError:
                return

        def log_message(self, format: str, *args: Any) -> None:
            """Suppresses the access log."""

    return Handler
