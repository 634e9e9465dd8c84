"""Synchronizes the directory with its source and with the peers."""

from collections.abc import Callable, Iterable

from berylstair.catalogue import LogEvent
from berylstair.counter import Traffic
from berylstair.directory import DecodedChange, SourceChange
from berylstair.errors import DecodeError, ErrorKind
from berylstair.ids import Endpoint, InstanceId
from berylstair.steering_action import FetchDirectory, SendMessage
from berylstair.steering_core import SteeringCore
from berylstair.steering_message import (
    DirectoryReply,
    DirectoryUpdate,
    decode_change_rows,
    encode_change_rows,
)

__all__ = ['ChangeDecoder', 'DirectorySync']

# Servers whose entries expired while the source was unavailable register again within
# about two seconds.
SOURCE_RECOVERY_GRACE_S = 2.2
# Shortest time between two requests for the directory. The first peer answers within a few
# milliseconds, or a quarter of a second if the answer is large and the link narrow.
REQUEST_MIN_INTERVAL_S = 0.25
# Peers to whom an instance sends a change that it read from the source: all of a small
# fleet.
READER_FANOUT_PEERS = 16
# Peers to whom an instance of a large fleet forwards a change that came from a peer. About
# one instance in 55 (e^-4) gets it from no peer and learns of it from the next heartbeat.
RELAY_FANOUT_PEERS = 4
# Peers notified of a change that they have to fetch; with more, all would fetch at once.
FETCH_FANOUT_PEERS = 4
# Larger changes do not fit into one datagram on a usual link.
MAX_UPDATE_BYTES = 1000

ChangeDecoder = Callable[[SourceChange], DecodedChange | None]


class DirectorySync:
    """Applies changes from the source and from peers, and propagates new ones."""

    def __init__(self, core: SteeringCore, decode_change: ChangeDecoder) -> None:
        """Sets up the synchronization of the core's directory.

        Args:
            core: Provides directory, fleet and actions.
            decode_change: Decodes what the directory's source wrote.
        """
        self._core = core
        self._decode_change = decode_change
        self._source_recovered_at = -SOURCE_RECOVERY_GRACE_S
        self._requested_at = -REQUEST_MIN_INTERVAL_S
        self.source_era: int | None = None

    def apply_source_changes(
        self,
        revision: int,
        changes: Iterable[SourceChange],
        now: float,
        is_full_listing: bool = False,
        era: int = 0,
    ) -> None:
        """Applies what was read from the source.

        Args:
            revision: Revision up to which the changes are complete.
            changes: Changes or items, in any order.
            now: Current time in seconds.
            is_full_listing: Whether the changes are all items of the source, so
                that any other key has been removed.
            era: Era of the source.
        """
        self._record_era(era, revision)
        source_changes = list(changes)
        if is_full_listing:
            keys = (change.key for change in source_changes)
            absent = self._core.directory.keys_absent_from(keys, revision)
            source_changes.extend(SourceChange(key, revision, None) for key in absent)
        self._apply_changes(revision, source_changes, READER_FANOUT_PEERS, now)

    def apply_fetched_changes(self, fetched: DirectoryReply, now: float) -> None:
        """Applies changes that were fetched from a peer."""
        self._apply_changes(
            fetched.revision, decode_change_rows(fetched.rows), self._relay_fanout, now
        )

    def encode_changes_after(self, revision: int) -> DirectoryReply:
        """Returns the changes after a revision, to send them to a peer."""
        rows = encode_change_rows(self._core.directory.changes_after(revision))
        return DirectoryReply(self._core.directory.revision, rows)

    def request_changes(self, target: Endpoint, now: float) -> None:
        """Fetches newer changes from a peer, unless any peer was asked just before."""
        if now - self._requested_at >= REQUEST_MIN_INTERVAL_S:
            self._requested_at = now
            self._core.actions.append(FetchDirectory(target, self._core.directory.revision))

    def handle_update(self, peer: InstanceId, update: DirectoryUpdate, now: float) -> None:
        """Applies changes that a peer sent, or requests the missing ones before them."""
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
        """Number of peers to whom a change that came from a peer is forwarded."""
        return RELAY_FANOUT_PEERS if self._core.fleet.is_large else 0

    def _apply_changes(
        self, revision: int, changes: list[SourceChange], fanout: int, now: float
    ) -> None:
        """Applies changes and propagates them to some peers if they are new."""
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
        """Sends changes to some peers, which forward them.

        Changes that are too large for a datagram are only announced, by a
        heartbeat with the new revision; the peers fetch them.
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
            self._report_ignored(source_change)
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

    def _report_ignored(self, source_change: SourceChange) -> None:
        """Logs and counts a change that is older than what is held but has other content."""
        held = self._core.directory.find_change(source_change.key)
        if held is None or held.value == source_change.value:
            return
        self._core.counters.record_traffic(Traffic.CHANGES_IGNORED)
        self._core.log(
            LogEvent.CHANGE_IGNORED,
            f'key={source_change.key} revision={source_change.revision} '
            f'held_revision={held.revision}',
        )

    def _record_era(self, era: int, revision: int) -> None:
        """Logs and counts a change of the source's era."""
        if self.source_era is not None and era != self.source_era:
            self._core.counters.record_traffic(Traffic.SOURCE_RESTORES)
            self._core.log(
                LogEvent.SOURCE_RESTORED,
                f'era={era} previous_era={self.source_era} revision={revision} '
                f'held_revision={self._core.directory.revision}',
            )
        self.source_era = era
