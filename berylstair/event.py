"""Input events of the decision core."""

from dataclasses import dataclass

from berylstair.ids import Endpoint, InstanceId
from berylstair.message import Message
from berylstair.proxy import ProxyHeader

__all__ = [
    'BackendDatagram',
    'CallerDatagram',
    'Event',
    'Flush',
    'ForwardedDatagram',
    'PeerClosed',
    'PeerMessage',
    'PeerOpened',
    'RecordRead',
    'SourceConfirmed',
    'SourceFailed',
    'StopRequested',
    'TimerDue',
]


@dataclass(frozen=True, slots=True)
class CallerDatagram:
    """A caller's datagram that the fabric delivered to this instance."""

    address: Endpoint
    caller: Endpoint
    payload: bytes


@dataclass(frozen=True, slots=True)
class ForwardedDatagram:
    """A caller's datagram that another instance forwarded."""

    header: ProxyHeader
    payload: bytes


@dataclass(frozen=True, slots=True)
class BackendDatagram:
    """An answer from a backend server, with the header of the packet it answers."""

    source: Endpoint
    header: ProxyHeader
    payload: bytes


@dataclass(frozen=True, slots=True)
class PeerOpened:
    """A connection to another instance has opened."""

    peer: InstanceId


@dataclass(frozen=True, slots=True)
class PeerClosed:
    """The last connection to another instance has closed."""

    peer: InstanceId


@dataclass(frozen=True, slots=True)
class PeerMessage:
    """A message from another instance."""

    peer: InstanceId
    message: Message


@dataclass(frozen=True, slots=True)
class RecordRead:
    """A record was read from the configuration source.

    Attributes:
        place: Name of the source, for log lines and errors.
        text: The record as written.
    """

    place: str
    text: str


@dataclass(frozen=True, slots=True)
class SourceConfirmed:
    """The configuration source was read and is not behind the previous read.

    The changed records that it returned have been delivered before.
    """


@dataclass(frozen=True, slots=True)
class SourceFailed:
    """The configuration source could not be read."""


@dataclass(frozen=True, slots=True)
class TimerDue:
    """The time given by ``EntryInstance.wake_at`` has come."""


@dataclass(frozen=True, slots=True)
class Flush:
    """A group of events has been processed; the batched rows are to be sent."""


@dataclass(frozen=True, slots=True)
class StopRequested:
    """A planned stop is requested; further requests have no effect."""


Event = (
    CallerDatagram
    | ForwardedDatagram
    | BackendDatagram
    | PeerOpened
    | PeerClosed
    | PeerMessage
    | RecordRead
    | SourceConfirmed
    | SourceFailed
    | TimerDue
    | Flush
    | StopRequested
)
