"""Actions that the steering core returns for the event loop to carry out."""

from typing import Any, NamedTuple

from berylstair.directory import Position
from berylstair.ids import Endpoint, InstanceId
from berylstair.record import BackendServer
from berylstair.segment import Segment
from berylstair.server_death import ServerLifetime
from berylstair.shared_action import LogEntry, Stopped

__all__ = [
    'CheckServer',
    'FetchDirectory',
    'ResetCaller',
    'SendMessage',
    'SendSegment',
    'SteeringAction',
]


class SendSegment(NamedTuple):
    """Sends a caller's segment to a backend server, with the server's tag."""

    server: BackendServer
    segment: Segment
    tag: int


class ResetCaller(NamedTuple):
    """Sends a reset to a caller whose flow is refused, or whose server has died.

    Attributes:
        segment: Opening segment of the flow, or a later one of an open flow.
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


class CheckServer(NamedTuple):
    """Checks whether a server accepts a connection.

    Attributes:
        path: What the check requests with HTTP.
        requester: Instance that is told the outcome.
    """

    server: ServerLifetime
    address: Endpoint
    path: str
    requester: InstanceId


SteeringAction = (
    SendSegment | ResetCaller | SendMessage | FetchDirectory | CheckServer | LogEntry | Stopped
)
