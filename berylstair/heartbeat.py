"""Signs of life between instances.

Apart from the other messages: whoever only follows who is alive need not load
them, and they take a tenth of the start of a process.
"""

from dataclasses import dataclass
from typing import NamedTuple

__all__ = ['Heartbeat', 'LoadRow']


class LoadRow(NamedTuple):
    """Work that the sender has in progress on one backend server."""

    service: str
    backend: str
    requests: int
    flows: int


@dataclass(frozen=True, slots=True)
class Heartbeat:
    """Sign of life with digests.

    Attributes:
        incarnation: Start time of the sender in ms.
        records: Digest over all records in force.
        list_version: Version of the instances record in force.
        confirmed_ms: Age of the newest confirmation by the platform, in ms.
        deputy_for: Stopped instances whose witness role the sender plays.
        leaving: True during a planned stop.
        load: Backend servers with work in progress.
    """

    incarnation: int
    records_digest: bytes
    list_version: int
    confirmation_age_ms: int
    is_leaving: bool
    deputy_for: tuple[str, ...]
    load: tuple[LoadRow, ...]
