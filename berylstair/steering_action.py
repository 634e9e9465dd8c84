"""Actions that the steering core returns for the event loop to carry out."""

from typing import Any, NamedTuple

from berylstair.directory import Position
from berylstair.ids import Endpoint
from berylstair.record import BackendServer
from berylstair.segment import Segment
from berylstair.shared_action import LogEntry, Stopped

__all__ = ['FetchDirectory', 'ResetCaller', 'SendMessage', 'SendSegment', 'SteeringAction']


class SendSegment(NamedTuple):
    """Sends a caller's segment to a backend server, with the server's tag."""

    server: BackendServer
    segment: Segment
    tag: int


class ResetCaller(NamedTuple):
    """Sends a reset to a caller whose flow is refused.

    Attributes:
        segment: Opening segment of the flow.
        sequence: Sequence number of the reset.
    """

    segment: Segment
    sequence: int


class SendMessage(NamedTuple):
    """Sends a message to another instance as a datagram."""

    target: Endpoint
    message: Any


class FetchDirectory(NamedTuple):
    """Fetches the directory's changes after a position from another instance.

    Attributes:
        claim: Position and configuration version that it stated; None without a heartbeat.
    """

    target: Endpoint
    after: Position
    claim: tuple[Position, int] | None = None


SteeringAction = SendSegment | ResetCaller | SendMessage | FetchDirectory | LogEntry | Stopped
