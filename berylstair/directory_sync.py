"""Keeps the directory in step with its source and with the peers."""

from collections.abc import Callable, Iterable

from berylstair.catalogue import LogEvent
from berylstair.directory import DecodedChange, SourceChange
from berylstair.errors import DecodeError, ErrorKind
from berylstair.ids import Endpoint, InstanceId
from berylstair.steering_action import PullDirectory, SendMessage
from berylstair.steering_core import SteeringCore
from berylstair.steering_message import (
    DirectoryReply,
    DirectoryUpdate,
    decode_change_rows,
    encode_change_rows,
)

__all__ = ['ChangeDecoder', 'DirectorySync']

# Servers whose entries lapsed meanwhile are back within about two seconds.
SOURCE_RECOVERY_GRACE_S = 2.2
# Time between asking two peers for the directory; the first answers within a few
# milliseconds, or a quarter of a second where the answer is large and links are narrow.
REQUEST_MIN_INTERVAL_S = 0.25
# Peers to whom whoever reads a change in the source spreads it: all of a small fleet.
READER_FANOUT_PEERS = 16
# Peers to whom the others of a large fleet pass it on. One instance in 55, e^-4, is
# told by nobody and hears of it in the next beacon.
RELAY_FANOUT_PEERS = 4
# Peers who are told of a change that they have to fetch, lest they all ask at once.
FETCH_FANOUT_PEERS = 4
# Larger changes do not fit into a datagram of a usual link.
MAX_UPDATE_BYTES = 1000

ChangeDecoder = Callable[[SourceChange], DecodedChange | None]


class DirectorySync:
    """Applies what the source and peers show, and spreads what is new."""

    def __init__(self, core: SteeringCore, decode_change: ChangeDecoder) -> None:
        """Shares the core's state.

        Args:
            core: Directory, fleet and actions.
            decode_change: Decodes what the directory's source wrote.
        """
        self._core = core
        self._decode_change = decode_change
        self._source_recovered_at = -SOURCE_RECOVERY_GRACE_S
        self._requested_at = -REQUEST_MIN_INTERVAL_S

    def apply_source_changes(
        self,
        revision: int,
        changes: Iterable[SourceChange],
        now: float,
        is_full_listing: bool = False,
    ) -> None:
        """Takes what the source shows.

        Args:
            revision: Revision up to which the changes are complete.
            changes: Changes or items, in any order.
            now: Current time in seconds.
            is_listing: Whether the changes are all items there are.
        """
        source_changes = list(changes)
        if is_full_listing:
            keys = (change.key for change in source_changes)
            absent = self._core.directory.keys_absent_from(keys, revision)
            source_changes.extend(SourceChange(key, revision, None) for key in absent)
        self._apply_changes(revision, source_changes, READER_FANOUT_PEERS, now)

    def apply_fetched_changes(self, fetched: DirectoryReply, now: float) -> None:
        """Takes what a peer has handed over."""
        self._apply_changes(
            fetched.revision, decode_change_rows(fetched.rows), self._relay_fanout, now
        )

    def encode_changes_after(self, revision: int) -> DirectoryReply:
        """Returns what a peer lacks."""
        rows = encode_change_rows(self._core.directory.changes_after(revision))
        return DirectoryReply(self._core.directory.revision, rows)

    def request_changes(self, target: Endpoint, now: float) -> None:
        """Fetches what a peer knows, unless somebody was asked just now."""
        if now - self._requested_at >= REQUEST_MIN_INTERVAL_S:
            self._requested_at = now
            self._core.actions.append(PullDirectory(target, self._core.directory.revision))

    def handle_update(self, peer: InstanceId, update: DirectoryUpdate, now: float) -> None:
        """Takes changes that a peer spreads, or asks for what is missing before them."""
        revision = self._core.directory.revision
        if update.revision <= revision:
            return
        if update.after_revision <= revision:
            self._apply_changes(
                update.revision, decode_change_rows(update.rows), self._relay_fanout, now
            )
            return
        target = self._core.fleet.find_endpoint(peer)
        if target is not None:
            self.request_changes(target, now)

    @property
    def _relay_fanout(self) -> int:
        """Peers to whom a change that came from a peer is passed on."""
        return RELAY_FANOUT_PEERS if self._core.fleet.is_large else 0

    def _apply_changes(
        self, revision: int, changes: list[SourceChange], fanout: int, now: float
    ) -> None:
        """Applies changes, and spreads them to some peers if they are news."""
        directory = self._core.directory
        age_s = self._core.fleet.membership.confirmation_age_s(now)
        if age_s is not None and age_s > self._core.settings.time_limits.entry_expiry_s:
            self._source_recovered_at = now
        previous_revision = directory.revision
        for change in changes:
            self._apply_change(change, now)
        directory.advance_revision(revision)
        if previous_revision and directory.revision != previous_revision:
            self._propagate_changes(previous_revision, fanout, now)

    def _propagate_changes(self, previous_revision: int, fanout: int, now: float) -> None:
        """Tells some peers what has changed, who tell others.

        Large changes are fetched by whoever hears of them.
        """
        core = self._core
        targets = core.fleet.sample_reachable_endpoints(fanout)
        if not targets:
            return
        reply = self.encode_changes_after(previous_revision)
        size_bytes = sum(len(row.value) + len(row.key) for row in reply.rows)
        if size_bytes > MAX_UPDATE_BYTES:
            core.send_heartbeat(targets[:FETCH_FANOUT_PEERS], now)
            return
        message = DirectoryUpdate(previous_revision, reply.revision, reply.rows)
        core.actions.extend(SendMessage(target, message) for target in targets)

    def _apply_change(self, source_change: SourceChange, now: float) -> None:
        core = self._core
        if not core.directory.is_new(source_change):
            return
        try:
            change = self._decode_change(source_change)
        except DecodeError as error:
            core.counters.record_refusal(ErrorKind.RECORD_INVALID)
            core.log(LogEvent.RECORD_REFUSED, f'key={source_change.key} {error}')
            return
        grace_s = max(self._source_recovered_at + SOURCE_RECOVERY_GRACE_S - now, 0)
        core.directory.apply(source_change, change, now, grace_s)
        core.log(
            LogEvent.RECORD_ADOPTED,
            f'key={source_change.key} revision={source_change.revision} '
            f'kind={type(change).__name__}',
        )
