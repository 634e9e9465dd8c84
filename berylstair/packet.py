"""A caller's packet while an instance processes it."""

from dataclasses import dataclass, replace

from berylstair.ids import Endpoint, InstanceId
from berylstair.view import Service

__all__ = ['Packet']


@dataclass(frozen=True, slots=True)
class Packet:
    """A caller's datagram and the service it belongs to.

    Attributes:
        service: Service that the address belongs to in the view in force.
        sender: Instance that forwarded it, None if it came from the fabric.
        hops: How often instances have forwarded it.
        is_lookup_done: Whether the lookup for its block-wise transfer is done.
    """

    service: Service
    caller: Endpoint
    address: Endpoint
    payload: bytes
    sender: InstanceId | None = None
    hops: int = 0
    is_lookup_done: bool = False

    def with_lookup_done(self) -> 'Packet':
        """Returns a copy of the packet with ``is_lookup_done`` set."""
        return replace(self, is_lookup_done=True)
