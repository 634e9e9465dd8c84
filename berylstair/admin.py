"""Actor that serves read-only HTTP pages to operators."""

import json
from collections.abc import Callable
from dataclasses import asdict
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from typing import Any
from urllib.parse import parse_qs, urlsplit

import pykka

from berylstair.entry import EntryLoop
from berylstair.ids import Endpoint, parse_endpoint
from berylstair.metrics import render_metrics
from berylstair.serving import boot_clock
from berylstair.status import explain, read_status

__all__ = ['AdminActor', 'ServeAdmin']

_JSON_CONTENT_TYPE = 'application/json'
_METRICS_CONTENT_TYPE = 'text/plain; version=0.0.4'

HttpResponse = tuple[int, str, bytes]


class ServeAdmin:
    """Message that starts serving, which lasts until the process ends."""


class AdminActor(pykka.ThreadingActor):
    """Serves ``/status``, ``/explain``, ``/metrics`` and ``/ready``."""

    use_daemon_thread = True

    def __init__(self, listen: Endpoint, loop: EntryLoop) -> None:
        """Opens the listening socket.

        Args:
            listen: TCP endpoint to listen on.
            loop: Loop of the instance that is queried.
        """
        super().__init__()
        handler = _make_handler_class(_AdminPages(loop))
        ThreadingHTTPServer.daemon_threads = True
        self._server = ThreadingHTTPServer(listen, handler)

    def on_receive(self, message: Any) -> None:
        """Serves requests; does not return."""
        if isinstance(message, ServeAdmin):
            self._server.serve_forever()


class _AdminPages:
    """Maps the paths of GET requests to responses."""

    def __init__(self, loop: EntryLoop) -> None:
        self._loop = loop
        self._page_by_path: dict[str, Callable[[dict[str, list[str]]], HttpResponse]] = {
            '/status': self._status,
            '/explain': self._explain,
            '/metrics': self._metrics,
            '/ready': self._ready,
        }

    def handle_get(self, target: str) -> HttpResponse:
        """Returns the response to one GET request."""
        parts = urlsplit(target)
        page = self._page_by_path.get(parts.path)
        if page is None:
            paths = ', '.join(sorted(self._page_by_path))
            return (
                404,
                _JSON_CONTENT_TYPE,
                json.dumps({'error': f'no such page, use {paths}'}).encode(),
            )
        try:
            return page(parse_qs(parts.query))
        except TimeoutError:
            return (
                503,
                _JSON_CONTENT_TYPE,
                json.dumps({'error': 'the instance does not answer'}).encode(),
            )

    def _read_status(self) -> Any:
        return self._loop.run_query(lambda instance: read_status(instance, boot_clock()))

    def _status(self, query: dict[str, list[str]]) -> HttpResponse:
        return 200, _JSON_CONTENT_TYPE, json.dumps(asdict(self._read_status())).encode()

    def _ready(self, query: dict[str, list[str]]) -> HttpResponse:
        status = self._read_status()
        is_accepting_traffic = status.is_ready and not status.is_leaving
        return (
            200 if is_accepting_traffic else 503,
            _JSON_CONTENT_TYPE,
            json.dumps({'ready': is_accepting_traffic}).encode(),
        )

    def _metrics(self, query: dict[str, list[str]]) -> HttpResponse:
        return 200, _METRICS_CONTENT_TYPE, render_metrics(self._read_status)

    def _explain(self, query: dict[str, list[str]]) -> HttpResponse:
        try:
            address = parse_endpoint(query['address'][0])
            caller = parse_endpoint(query['caller'][0])
        except (KeyError, ValueError) as error:
            text = f'give address=IP:PORT and caller=IP:PORT ({error})'
            return 400, _JSON_CONTENT_TYPE, json.dumps({'error': text}).encode()
        explanation = self._loop.run_query(
            lambda instance: explain(instance, address, caller, boot_clock()),
        )
        return 200, _JSON_CONTENT_TYPE, json.dumps(asdict(explanation)).encode()


def _make_handler_class(pages: _AdminPages) -> type[BaseHTTPRequestHandler]:
    class Handler(BaseHTTPRequestHandler):
        """Serves GET requests."""

        def do_GET(self) -> None:
            """Responds to one request."""
            status, content_type, body = pages.handle_get(self.path)
            self.send_response(status)
            self.send_header('Content-Type', content_type)
            self.send_header('Content-Length', str(len(body)))
            self.end_headers()
            self.wfile.write(body)

        def log_message(self, format: str, *args: Any) -> None:
            """Writes nothing, which keeps access log lines out of the event log."""

    return Handler
