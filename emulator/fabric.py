"""Emulated fabric: sends each packet to a randomly chosen entry instance."""

from random import Random
from typing import Any

from berylstair.errors import DecodeError
from berylstair.ids import Endpoint, parse_endpoint
from berylstair.proxy import HeaderDecoder, HeaderTemplate, split_datagram
from emulator.faults import Faults, Link
from emulator.udp import UdpSocket

__all__ = ['EmulatedFabric']


class EmulatedFabric:
    """Binds the service addresses and forwards each packet to a random instance."""

    def __init__(self, addresses: list[Endpoint], relay: Endpoint, seed: int) -> None:
        """Binds the service addresses and the relay endpoint for responses."""
        self._rng = Random(seed)
        self._instance_endpoints: list[Endpoint] = []
        self._header_decoder = HeaderDecoder()
        self._inbound_link = Link(Random(seed + 1))
        self._outbound_link = Link(Random(seed + 2))
        self._relay_socket = UdpSocket(relay, self._handle_response)
        self._socket_by_address = {
            address: UdpSocket(address, self._make_packet_handler(address)) for address in addresses
        }

    def set_targets(self, message: dict[str, Any]) -> None:
        """Sets the instances that packets are sent to."""
        self._instance_endpoints = [parse_endpoint(text) for text in message['targets']]

    def set_faults(self, message: dict[str, Any]) -> None:
        """Sets the faults between callers and instances in both directions."""
        faults = Faults(
            drop_ratio=message.get('drop', 0.0),
            duplicate_ratio=message.get('double', 0.0),
            delay_ms=tuple(message.get('delay_ms', (0.0, 0.0))),
        )
        self._inbound_link.faults = faults
        self._outbound_link.faults = faults

    def _make_packet_handler(self, address: Endpoint) -> Any:
        template = HeaderTemplate(address, address, {})

        def handle_packet(datagram: bytes, caller: Endpoint) -> None:
            header = template.fill(caller)
            self._inbound_link.transmit(lambda: self._send_to_instance(header + datagram))

        return handle_packet

    def _send_to_instance(self, datagram: bytes) -> None:
        if self._instance_endpoints:
            self._relay_socket.send(datagram, self._rng.choice(self._instance_endpoints))

    def _handle_response(self, datagram: bytes, source: Endpoint) -> None:
        try:
            raw, payload = split_datagram(datagram)
            header = self._header_decoder.decode(raw)
        except DecodeError:
            return
        sock = self._socket_by_address.get(header.address)
        if sock is not None:
            self._outbound_link.transmit(lambda: sock.send(payload, header.caller))
