"""Messages between instances that steer flows.

All are sent as datagrams, except ``DirectoryRequest`` and ``DirectoryReply``.
Each datagram is small. A lost one is compensated by the next report, or by the
holder of a flow placing the flow itself.
"""

from collections.abc import Iterable
from typing import Any, NamedTuple

from berylstair.assigner import PlacementDecision
from berylstair.codec import MessageCodec
from berylstair.cold_rate import NOT_COLD_MS
from berylstair.directory import Position, SourceChange, WriterVersion
from berylstair.lease_table import Outcome
from berylstair.server_death_message import (
    SERVER_DEATH_MESSAGES,
    SERVER_DEATH_ROWS,
)

__all__ = [
    'STEERING_CODEC',
    'UNCONFIRMED_MS',
    'ColdVote',
    'ColdVoteRequest',
    'DirectoryChangeRow',
    'DirectoryReply',
    'DirectoryRequest',
    'DirectoryUpdate',
    'FleetHeartbeat',
    'LeaseReport',
    'LeaseRow',
    'MemberRow',
    'OfferNoticeBatch',
    'OfferNoticeRow',
    'PeerLost',
    'PlacementReplyBatch',
    'PlacementReplyRow',
    'PlacementRequestBatch',
    'PlacementRequestRow',
    'ReleaseBatch',
    'ReleaseRow',
    'StalledRequestBatch',
    'StalledRequestRow',
    'decode_change_rows',
    'encode_change_rows',
]


UNCONFIRMED_MS = -1


class MemberRow(NamedTuple):
    """An instance that the sender knows of."""

    instance: str
    zone: str
    ip: str


class PlacementRequestRow(NamedTuple):
    """A new flow that needs a server.

    Attributes:
        waited_ms: Time since the caller's first opening segment.
        since_last_opening_ms: Time since its latest opening segment.
        priority: 0 is the highest.
        deadline_ms: Time after the first opening segment at which an answer is of no
            use; 0 if there is none.
        excluded: Tags of servers that did not answer, 4 bytes each.
    """

    flow: bytes
    service: str
    route_name: str
    waited_ms: int
    since_last_opening_ms: int
    latency_target_ms: int
    priority: int
    deadline_ms: int
    excluded: bytes


class PlacementReplyRow(NamedTuple):
    """Answer to a placement request; ``backend`` is empty unless the flow is placed.

    Attributes:
        cold_age_ms: Age of the flow when it was granted a cold server, counted from the
            arrival of its first opening segment; ``NOT_COLD_MS`` for any other server.
    """

    flow: bytes
    service: str
    decision: PlacementDecision
    backend: str
    lease_count: int
    cold_age_ms: int = NOT_COLD_MS


class ReleaseRow(NamedTuple):
    """A flow whose work has ended, or which continues at another instance.

    Attributes:
        tag: Tag of the server at which the flow is open, 0 if the sender does not know.
    """

    flow: bytes
    service: str
    outcome: Outcome
    tag: int = 0


class StalledRequestRow(NamedTuple):
    """An open flow whose first request shows no progress.

    Attributes:
        age_ms: Time since the request was forwarded to the server.
    """

    flow: bytes
    service: str
    backend: str
    route_name: str
    age_ms: int


class OfferNoticeRow(NamedTuple):
    """A flow that the sender has offered without the first-ranked instance's decision."""

    flow: bytes
    service: str


class LeaseRow(NamedTuple):
    """A flow that the sender holds open on a server."""

    flow: bytes
    backend: str
    route_name: str
    age_ms: int


class DirectoryChangeRow(NamedTuple):
    """A change of the directory as its source wrote it.

    Attributes:
        lifetime: Lifetime of the writer's version, see ``WriterVersion``.
        number: Number of the writer's version in that lifetime.
        is_ahead: Whether the source lost this content.
    """

    key: str
    era: int
    revision: int
    is_removed: bool
    value: bytes
    lifetime: int
    number: int
    is_ahead: bool


class FleetHeartbeat(NamedTuple):
    """Shows that the sender is alive and what it knows.

    Attributes:
        incarnation: Start time of the sender's process in ms since 1970.
        era: Era of the sender's directory.
        revision: Revision of the sender's directory in that era.
        configuration_version: Version of the configuration that the sender has in force.
        sent_at_ms: When the heartbeat was sent, on the sender's clock.
        confirmed_at_ms: When the source confirmed that the directory is complete, on
            the sender's clock; ``UNCONFIRMED_MS`` before the first time.
        answered_ms: ``sent_at_ms`` of the receiver's heartbeat that this one
            answers, 0 if it answers none.
        is_leaving: Whether the sender is in a planned stop.
        placements_per_s: New flows per second that the sender could place.
        known_instance_count: Number of instances that the sender knows.
        wants_answer: Whether the receiver is to answer with a heartbeat.
        members: Some of the instances that the sender knows.
    """

    instance: str
    zone: str
    incarnation: int
    era: int
    revision: int
    configuration_version: int
    sent_at_ms: int
    confirmed_at_ms: int
    answered_ms: int
    is_leaving: bool
    placements_per_s: int
    known_instance_count: int
    wants_answer: bool
    members: tuple[MemberRow, ...]

    @property
    def position(self) -> Position:
        """Position of the sender's directory."""
        return Position(self.era, self.revision)


class PeerLost(NamedTuple):
    """Declares an instance lost after several unanswered probes.

    Attributes:
        incarnation: Incarnation in the instance's last heartbeat.
    """

    instance: str
    incarnation: int


class PlacementRequestBatch(NamedTuple):
    """Asks a dispatching instance to place flows."""

    rows: tuple[PlacementRequestRow, ...]


class PlacementReplyBatch(NamedTuple):
    """Placement decisions of a dispatching instance."""

    rows: tuple[PlacementReplyRow, ...]


class ReleaseBatch(NamedTuple):
    """Tells a dispatching instance, or the holder of flows, which flows have ended."""

    rows: tuple[ReleaseRow, ...]


class StalledRequestBatch(NamedTuple):
    """Tells a dispatching instance which requests show no progress."""

    rows: tuple[StalledRequestRow, ...]


class OfferNoticeBatch(NamedTuple):
    """Asks to be told at which servers flows that the sender has offered are open."""

    rows: tuple[OfferNoticeRow, ...]


class LeaseReport(NamedTuple):
    """All flows of one service that the sender holds open."""

    service: str
    rows: tuple[LeaseRow, ...]


class DirectoryRequest(NamedTuple):
    """Asks for the directory's changes after a position."""

    after_era: int
    after_revision: int


class DirectoryReply(NamedTuple):
    """Changes of the directory up to a position."""

    era: int
    revision: int
    rows: tuple[DirectoryChangeRow, ...]

    @property
    def position(self) -> Position:
        """Position up to which the changes are complete."""
        return Position(self.era, self.revision)


class DirectoryUpdate(NamedTuple):
    """A few small changes, for peers that hold the directory up to a position.

    Attributes:
        after_era: Era before the changes.
        after_revision: Revision before the changes.
        era: Era with them.
        revision: Revision with them.
    """

    after_era: int
    after_revision: int
    era: int
    revision: int
    rows: tuple[DirectoryChangeRow, ...]

    @property
    def after(self) -> Position:
        """Position before the changes."""
        return Position(self.after_era, self.after_revision)

    @property
    def position(self) -> Position:
        """Position with the changes."""
        return Position(self.era, self.revision)


class ColdVoteRequest(NamedTuple):
    """Asks for votes for the sender, so that it may offer flows to cold servers.

    Attributes:
        sent_at_ms: When it was sent, on the sender's clock.
        services: Services whose votes are requested.
    """

    sent_at_ms: int
    services: tuple[str, ...]


class ColdVote(NamedTuple):
    """Votes for the receiver.

    Attributes:
        requested_at_ms: ``sent_at_ms`` of the request.
        services: Services for which the sender votes for the receiver.
    """

    requested_at_ms: int
    services: tuple[str, ...]


_MESSAGE_TYPES: tuple[type[Any], ...] = (
    FleetHeartbeat,
    PlacementRequestBatch,
    PlacementReplyBatch,
    ReleaseBatch,
    LeaseReport,
    DirectoryRequest,
    DirectoryReply,
    DirectoryUpdate,
    PeerLost,
    StalledRequestBatch,
    ColdVoteRequest,
    ColdVote,
    OfferNoticeBatch,
    *SERVER_DEATH_MESSAGES,
)
_ROW_TYPE_BY_FIELD: dict[tuple[type[Any], str], type[Any]] = {
    (FleetHeartbeat, 'members'): MemberRow,
    (PlacementRequestBatch, 'rows'): PlacementRequestRow,
    (PlacementReplyBatch, 'rows'): PlacementReplyRow,
    (ReleaseBatch, 'rows'): ReleaseRow,
    (OfferNoticeBatch, 'rows'): OfferNoticeRow,
    (LeaseReport, 'rows'): LeaseRow,
    (StalledRequestBatch, 'rows'): StalledRequestRow,
    (DirectoryReply, 'rows'): DirectoryChangeRow,
    (DirectoryUpdate, 'rows'): DirectoryChangeRow,
    (ColdVoteRequest, 'services'): str,
    (ColdVote, 'services'): str,
    **SERVER_DEATH_ROWS,
}
STEERING_CODEC = MessageCodec(_MESSAGE_TYPES, _ROW_TYPE_BY_FIELD)


def encode_change_rows(changes: Iterable[SourceChange]) -> tuple[DirectoryChangeRow, ...]:
    """Encodes changes as rows of a message."""
    return tuple(
        DirectoryChangeRow(
            change.key,
            change.position.era,
            change.position.revision,
            change.value is None,
            change.value or b'',
            change.writer_version.lifetime,
            change.writer_version.number,
            change.is_ahead,
        )
        for change in changes
    )


def decode_change_rows(rows: Iterable[DirectoryChangeRow]) -> list[SourceChange]:
    """Decodes the changes from rows of a message."""
    return [
        SourceChange(
            row.key,
            Position(row.era, row.revision),
            None if row.is_removed else row.value,
            WriterVersion(row.lifetime, row.number),
            row.is_ahead,
        )
        for row in rows
    ]
