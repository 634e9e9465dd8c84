"""Which registered servers have an address, as addresses are used again by other services."""

from collections import defaultdict

from berylstair.ids import BackendId, Endpoint
from berylstair.record import BackendServer

__all__ = ['ServerAddresses']


class ServerAddresses:
    """Registered servers by their address."""

    def __init__(self) -> None:
        """Starts without servers."""
        self._ids_by_address: defaultdict[Endpoint, set[BackendId]] = defaultdict(set)

    def add(self, server: BackendServer) -> None:
        """Adds a registered server."""
        self._ids_by_address[server.address].add(server.id)

    def remove(self, server: BackendServer) -> None:
        """Removes a server whose entry was removed or replaced."""
        ids = self._ids_by_address.get(server.address, set())
        ids.discard(server.id)
        if not ids:
            self._ids_by_address.pop(server.address, None)

    def is_of_another(self, backend: BackendId, address: Endpoint) -> bool:
        """Returns whether an address belongs to another registered server."""
        return bool(self._ids_by_address.get(address, set()) - {backend})
