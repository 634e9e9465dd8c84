"""UDP sockets of an entry instance, read in batches."""

import socket
from collections.abc import Callable, Iterator

from berylstair.action import ForwardDatagram, SendToBackend, SendToCaller
from berylstair.errors import DecodeError
from berylstair.event import BackendDatagram, CallerDatagram, Event, ForwardedDatagram
from berylstair.ids import Endpoint
from berylstair.proxy import HeaderDecoder, HeaderTemplate, ProxyHeader, split_datagram
from berylstair.settings import FabricMode, Settings
from berylstair.udp import MAX_DATAGRAM_BYTES, MAX_DATAGRAMS_PER_READ, open_udp_socket

__all__ = ['EntrySockets']


class EntrySockets:
    """Sockets for callers, backend servers and other instances."""

    def __init__(self, settings: Settings, on_malformed_header: Callable[[], None]) -> None:
        """Opens all sockets except those of the service addresses.

        Args:
            settings: Endpoints and fabric mode.
            on_malformed_header: Called for each datagram whose header does not
                decode.
        """
        self._on_malformed_header = on_malformed_header
        self._fabric = settings.fabric
        self._header_decoder = HeaderDecoder()
        self._actual_by_published = settings.address_map
        self._published_by_actual = {
            actual: published for published, actual in settings.address_map.items()
        }
        self._backend_socket = open_udp_socket(settings.backend_listen)
        self._forward_socket = open_udp_socket(settings.forward_listen)
        self._template_by_route: dict[tuple[Endpoint, bool], HeaderTemplate] = {}
        self._caller_socket_by_address: dict[Endpoint, socket.socket] = {}
        self._encapsulated_socket: socket.socket | None = None
        if self._fabric.mode is FabricMode.ENCAPSULATED:
            self._encapsulated_socket = open_udp_socket(self._fabric.listen)

    def readers(self) -> dict[socket.socket, Callable[[], Iterator[Event]]]:
        """Returns, for each socket, the function that reads its datagrams as events."""
        readers: dict[socket.socket, Callable[[], Iterator[Event]]] = {
            self._backend_socket: self._read_backend,
            self._forward_socket: self._read_forwarded,
        }
        if self._encapsulated_socket is not None:
            readers[self._encapsulated_socket] = self._read_encapsulated
        for address, sock in self._caller_socket_by_address.items():
            readers[sock] = lambda address=address, sock=sock: self._read_direct(address, sock)
        return readers

    def bind_addresses(self, addresses: set[Endpoint]) -> None:
        """Binds the service addresses in direct mode and closes the sockets of others."""
        if self._fabric.mode is not FabricMode.DIRECT:
            return
        for address in set(self._caller_socket_by_address) - addresses:
            self._caller_socket_by_address.pop(address).close()
        for address in addresses - set(self._caller_socket_by_address):
            self._caller_socket_by_address[address] = open_udp_socket(address)

    def discard_pending_datagrams(self) -> int:
        """Discards the callers' pending datagrams and returns their number."""
        sockets = [self._forward_socket, *self._caller_socket_by_address.values()]
        if self._encapsulated_socket is not None:
            sockets.append(self._encapsulated_socket)
        return sum(_discard_pending(sock) for sock in sockets)

    def send_to_caller(self, action: SendToCaller) -> None:
        """Sends an answer from a service address to a caller."""
        if self._encapsulated_socket is not None:
            header = self._answer_header(action.caller, action.address)
            _send(self._encapsulated_socket, header + action.payload, self._fabric.relay)
            return
        sock = self._caller_socket_by_address.get(action.address)
        if sock is not None:
            _send(sock, action.payload, action.caller)

    def send_to_backend(self, action: SendToBackend) -> None:
        """Sends a datagram to a backend server."""
        target = self._actual_by_published.get(action.target, action.target)
        _send(self._backend_socket, action.datagram, target)

    def forward_datagram(self, action: ForwardDatagram) -> None:
        """Forwards a caller's datagram to another instance."""
        target = self._actual_by_published.get(action.target, action.target)
        _send(self._forward_socket, action.datagram, target)

    def close(self) -> None:
        """Closes all sockets."""
        for sock in self.readers():
            sock.close()

    def _answer_header(self, caller: Endpoint, address: Endpoint) -> bytes:
        route = (address, ':' in caller.ip)
        template = self._template_by_route.get(route)
        if template is None:
            template = HeaderTemplate(caller, address, {})
            self._template_by_route[route] = template
        return template.fill(caller)

    def _read_direct(self, address: Endpoint, sock: socket.socket) -> Iterator[Event]:
        for payload, source in _receive(sock):
            yield CallerDatagram(address, Endpoint(source[0], source[1]), payload)

    def _read_encapsulated(self) -> Iterator[Event]:
        for header, payload, _source in self._receive_with_headers(self._encapsulated_socket):
            yield CallerDatagram(header.address, header.caller, payload)

    def _read_forwarded(self) -> Iterator[Event]:
        for header, payload, _source in self._receive_with_headers(self._forward_socket):
            yield ForwardedDatagram(header, payload)

    def _read_backend(self) -> Iterator[Event]:
        for header, payload, source in self._receive_with_headers(self._backend_socket):
            actual = Endpoint(source[0], source[1])
            yield BackendDatagram(self._published_by_actual.get(actual, actual), header, payload)

    def _receive_with_headers(
        self,
        sock: socket.socket,
    ) -> Iterator[tuple[ProxyHeader, bytes, tuple[str, int]]]:
        """Yields header, payload and source of each datagram whose header decodes."""
        for datagram, source in _receive(sock):
            try:
                raw, payload = split_datagram(datagram)
                header = self._header_decoder.decode(raw)
            except DecodeError:
                self._on_malformed_header()
                continue
            yield header, payload, source


def _receive(sock: socket.socket) -> Iterator[tuple[bytes, tuple[str, int]]]:
    for _ in range(MAX_DATAGRAMS_PER_READ):
        try:
            yield sock.recvfrom(MAX_DATAGRAM_BYTES)
        except BlockingIOError:
            return
        except OSError:
            return


def _discard_pending(sock: socket.socket) -> int:
    discarded_count = 0
    while True:
        try:
            sock.recvfrom(MAX_DATAGRAM_BYTES)
        except OSError:
            return discarded_count
        discarded_count += 1


def _send(sock: socket.socket, datagram: bytes, target: Endpoint) -> None:
    """Sends a datagram; drops it on an error, as a congested network would."""
    try:
        sock.sendto(datagram, target)
    except OSError:
        return
