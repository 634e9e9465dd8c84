"""Heartbeats between instances.

They are defined apart from the other messages, so that a process that only
tracks which instances are reachable need not import those: importing them takes
a tenth of the start-up time of a process.
"""

from dataclasses import dataclass
from typing import NamedTuple

__all__ = ['Heartbeat', 'LoadRow']


class LoadRow(NamedTuple):
    """Work of the sender that is in progress at one backend server."""

    service: str
    backend: str
    requests: int
    flows: int


@dataclass(frozen=True, slots=True)
class Heartbeat:
    """Heartbeat with a digest of the records and the sender's load.

    Attributes:
        incarnation: Start time of the sender's process in ms.
        records_digest: Digest of all records in force.
        list_version: Version of the instances record in force.
        confirmation_age_ms: Age in ms of the newest confirmation by the source;
            negative if it states none.
        deputy_for: Stopped instances whose witness roles the sender hosts.
        is_leaving: Whether the sender is in a planned stop.
        load: Backend servers with work in progress.
    """

    incarnation: int
    records_digest: bytes
    list_version: int
    confirmation_age_ms: int
    is_leaving: bool
    deputy_for: tuple[str, ...]
    load: tuple[LoadRow, ...]
