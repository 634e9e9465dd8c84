"""Actions that the steering core returns for the event loop to carry out."""

from dataclasses import dataclass
from typing import Any

from berylstair.action import LogEntry, Stopped
from berylstair.ids import Endpoint
from berylstair.record import BackendServer
from berylstair.segment import Segment

__all__ = ['FetchDirectory', 'ResetCaller', 'SendMessage', 'SendSegment', 'SteeringAction']


@dataclass(frozen=True, slots=True)
class SendSegment:
    """Sends a caller's segment to a backend server, with the server's tag."""

    server: BackendServer
    segment: Segment
    tag: int


@dataclass(frozen=True, slots=True)
class ResetCaller:
    """Sends a reset to a caller whose flow is refused.

    Attributes:
        segment: Opening segment of the flow.
        sequence: Sequence number of the reset.
    """

    segment: Segment
    sequence: int


@dataclass(frozen=True, slots=True)
class SendMessage:
    """Sends a message to another instance as a datagram."""

    target: Endpoint
    message: Any


@dataclass(frozen=True, slots=True)
class FetchDirectory:
    """Fetches the directory's changes after a revision from another instance."""

    target: Endpoint
    after_revision: int


SteeringAction = SendSegment | ResetCaller | SendMessage | FetchDirectory | LogEntry | Stopped
