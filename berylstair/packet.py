"""A caller's packet on its way through an instance."""

from dataclasses import dataclass, replace

from berylstair.ids import Endpoint, InstanceId
from berylstair.view import Service

__all__ = ['Packet']


@dataclass(frozen=True, slots=True)
class Packet:
    """A caller's datagram and the service it belongs to.

    Attributes:
        service: Service that the address belongs to in the view in force.
        sender: The instance that passed it on, None from the fabric.
        hops: How often it was passed on.
        is_resumed: True after a lookup for its block-wise transfer.
    """

    service: Service
    caller: Endpoint
    address: Endpoint
    payload: bytes
    sender: InstanceId | None = None
    hops: int = 0
    is_lookup_done: bool = False

    def with_lookup_done(self) -> 'Packet':
        """Returns the packet, marked as looked up."""
        return replace(self, is_lookup_done=True)
