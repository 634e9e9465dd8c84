"""TCP port at which an emulated backend server answers liveness checks."""

import socket
import threading
from contextlib import closing, suppress

from berylstair.ids import Endpoint

__all__ = ['HealthPort']

_ANSWER = b'HTTP/1.1 200 OK\r\nContent-Length: 0\r\nConnection: close\r\n\r\n'
_BACKLOG = 64
_MAX_REQUEST_BYTES = 4096
_REQUEST_TIMEOUT_S = 0.5


class HealthPort:
    """Answers every request on a thread; once closed, the machine refuses connections."""

    def __init__(self, endpoint: Endpoint) -> None:
        """Listens at an endpoint."""
        self._listener = socket.socket()
        self._listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self._listener.bind(endpoint)
        self._listener.listen(_BACKLOG)
        self._thread = threading.Thread(target=self._serve, daemon=True)
        self._thread.start()

    def close(self) -> None:
        """Stops listening."""
        with suppress(OSError):
            # This ends the wait for a connection, which closing the socket does not.
            self._listener.shutdown(socket.SHUT_RDWR)
        self._listener.close()
        self._thread.join(_REQUEST_TIMEOUT_S)

    def _serve(self) -> None:
        while True:
            try:
                connection, _ = self._listener.accept()
            except OSError:
                return
            with closing(connection), suppress(OSError):
                connection.settimeout(_REQUEST_TIMEOUT_S)
                connection.recv(_MAX_REQUEST_BYTES)
                connection.sendall(_ANSWER)
