"""Actions that the decision core asks the shell to carry out."""

from dataclasses import dataclass

from berylstair.ids import Endpoint, InstanceId
from berylstair.message import Message
from berylstair.shared_action import LogEntry, Stopped

__all__ = [
    'Action',
    'DiscardPendingDatagrams',
    'ForwardDatagram',
    'LogEntry',
    'SendToBackend',
    'SendToCaller',
    'SendToPeer',
    'Stopped',
]


@dataclass(frozen=True, slots=True)
class SendToCaller:
    """Send a datagram from a service address to a caller."""

    address: Endpoint
    caller: Endpoint
    payload: bytes


@dataclass(frozen=True, slots=True)
class SendToBackend:
    """Send a datagram, header included, to a backend server."""

    target: Endpoint
    datagram: bytes


@dataclass(frozen=True, slots=True)
class ForwardDatagram:
    """Send a datagram, header included, to another instance's forward port."""

    peer: InstanceId
    target: Endpoint
    datagram: bytes


@dataclass(frozen=True, slots=True)
class SendToPeer:
    """Send a message on the connection to another instance."""

    peer: InstanceId
    message: Message


@dataclass(frozen=True, slots=True)
class DiscardPendingDatagrams:
    """Discard the callers' datagrams that are queued in the sockets."""


Action = (
    SendToCaller
    | SendToBackend
    | ForwardDatagram
    | SendToPeer
    | DiscardPendingDatagrams
    | LogEntry
    | Stopped
)
