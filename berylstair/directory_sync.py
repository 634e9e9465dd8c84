"""Synchronizes the directory with its source and with the peers."""

import math
from collections.abc import Callable

from berylstair.catalogue import LogEvent
from berylstair.counter import Traffic
from berylstair.directory import (
    START_POSITION,
    DecodedChange,
    Position,
    ServerRemoved,
    SourceChange,
)
from berylstair.directory_source import SourceListing
from berylstair.errors import DecodeError, ErrorKind
from berylstair.evacuation_monitor import EvacuationMonitor
from berylstair.ids import Endpoint, InstanceId
from berylstair.steering_action import FetchDirectory, SendMessage
from berylstair.steering_core import SteeringCore
from berylstair.steering_message import (
    DirectoryReply,
    DirectoryUpdate,
    FleetHeartbeat,
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
# A fault may quote what caused it.
MAX_FAULT_CHARS = 200

# Time after which a refuted position is believed again. An instance that goes on stating
# it costs its peers one listing each in this time.
REFUTED_RETENTION_S = 60.0

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
        self._evacuation_monitor = EvacuationMonitor(core)
        self._source_recovered_at = -SOURCE_RECOVERY_GRACE_S
        self._requested_at = -REQUEST_MIN_INTERVAL_S
        self._fetched_era = -1
        self._refuted_position: Position | None = None
        self._refuted_at = -math.inf
        # What each peer had stated when its changes were requested that came last.
        self._met_claim_by_target: dict[Endpoint, tuple[Position, int] | None] = {}

    def apply_source_changes(
        self, listing: SourceListing, is_full_listing: bool, now: float
    ) -> bool:
        """Applies what was read from the source.

        Args:
            listing: Changes or items, in any order.
            is_full_listing: Whether the changes are all items of the source, so
                that any other key has been removed.
            now: Current time in seconds.

        Returns:
            Whether they were applied; False if the source was restored since.
        """
        changes = list(listing.changes)
        if is_full_listing:
            keys = (change.key for change in changes)
            absent_keys = self._core.directory.keys_absent_from(keys, listing.position)
            changes.extend(SourceChange(key, listing.position, None) for key in absent_keys)
        return self._apply_changes(listing.position, changes, READER_FANOUT_PEERS, now)

    def withdraw_refuted(self, refuted: Position, source_position: Position, now: float) -> None:
        """Withdraws what peers stated beyond the position of the source.

        The source is linearizable, so what it has not reached in an answer to a call
        that began later was false. A full listing has to be applied next.

        Args:
            refuted: Position that the directory had before the call.
            source_position: Position of the source in its answer.
            now: Current time in seconds.
        """
        core = self._core
        held = core.directory.position
        if held < refuted:
            return
        self._refuted_position = min(refuted, self._refuted_position or refuted)
        self._refuted_at = now
        self._fetched_era = min(self._fetched_era, source_position.era)
        core.counters.record_refusal(ErrorKind.POSITION_REFUTED)
        core.log(
            LogEvent.POSITION_REFUTED,
            f'{source_position} held_revision={held.revision} held_era={held.era} '
            f'withdrawn={core.directory.withdraw_after(source_position)}',
        )

    def apply_fetched_changes(
        self, fetched: DirectoryReply, fetch: FetchDirectory, now: float
    ) -> None:
        """Applies changes that were fetched from a peer."""
        self._met_claim_by_target[fetch.target] = fetch.claim
        if self._is_refuted(fetched.position, now):
            return
        self._fetched_era = max(self._fetched_era, fetched.era)
        self._apply_changes(
            fetched.position, decode_change_rows(fetched.rows), self._relay_fanout, now
        )

    def encode_changes_after(self, position: Position) -> DirectoryReply:
        """Returns the changes after a position, to send them to a peer."""
        rows = encode_change_rows(self._core.directory.changes_after(position))
        return DirectoryReply(*self._core.directory.position, rows)

    def request_changes_of(self, heartbeat: FleetHeartbeat, target: Endpoint, now: float) -> None:
        """Fetches the changes that the sender of a heartbeat may hold and that are missing here.

        A claim that was met by a fetch is not fetched again: what the sender holds
        for it is here, even if that is less than it states.
        """
        claim = (heartbeat.position, heartbeat.configuration_version)
        is_met = self._met_claim_by_target.get(target) == claim
        if is_met or self._is_refuted(heartbeat.position, now):
            return
        if self.may_lack_changes_of(heartbeat):
            self.request_changes(target, now, claim)

    def may_lack_changes_of(self, heartbeat: FleetHeartbeat) -> bool:
        """Returns whether the sender of a heartbeat may hold changes that are missing here.

        In each era one peer is asked even if its position is the same: it may
        hold contents that the source lost.
        """
        directory = self._core.directory
        if heartbeat.era != directory.position.era:
            return heartbeat.era > directory.position.era
        return (
            heartbeat.position > directory.position
            or heartbeat.configuration_version > directory.configuration_version
            or heartbeat.era > self._fetched_era
        )

    def request_changes(
        self, target: Endpoint, now: float, claim: tuple[Position, int] | None = None
    ) -> None:
        """Fetches newer changes from a peer, unless any peer was asked just before.

        Args:
            target: Endpoint of the peer.
            now: Current time in seconds.
            claim: Position and configuration version that its heartbeat stated, if any.
        """
        if now - self._requested_at >= REQUEST_MIN_INTERVAL_S:
            self._requested_at = now
            position = self._core.directory.position
            self._core.actions.append(FetchDirectory(target, position, claim))

    def handle_update(self, peer: InstanceId, update: DirectoryUpdate, now: float) -> None:
        """Applies changes that a peer sent, or requests the missing ones before them."""
        position = self._core.directory.position
        if update.position <= position or self._is_refuted(update.position, now):
            return
        if update.after <= position:
            self._apply_changes(
                update.position, decode_change_rows(update.rows), self._relay_fanout, now
            )
            return
        target = self._core.fleet.find_endpoint(peer)
        if target is not None:
            self.request_changes(target, now)

    @property
    def _relay_fanout(self) -> int:
        """Number of peers to whom a change that came from a peer is forwarded."""
        return RELAY_FANOUT_PEERS if self._core.fleet.is_large else 0

    def _is_refuted(self, position: Position, now: float) -> bool:
        """Returns whether a position is at or beyond one that the source has refuted.

        The refutation ends once the source itself has reached that position.
        """
        refuted = self._refuted_position
        if refuted is None:
            return False
        is_over = now - self._refuted_at > REFUTED_RETENTION_S
        if is_over or self._core.directory.position >= refuted:
            self._refuted_position = None
            return False
        return position >= refuted

    def _apply_changes(
        self, position: Position, changes: list[SourceChange], fanout: int, now: float
    ) -> bool:
        """Applies changes and propagates them to some peers if they are new.

        Returns:
            False if they are from before a restore of the source that is known here.
        """
        directory = self._core.directory
        previous = directory.position
        if position.era < previous.era:
            return False
        is_restored = position.era > previous.era and previous != START_POSITION
        age_s = self._core.fleet.membership.confirmation_age_s(now)
        expiry_s = self._core.settings.time_limits.entry_expiry_s
        if is_restored or (age_s is not None and age_s > expiry_s):
            self._source_recovered_at = now
        for change in changes:
            self._apply_change_guarded(change, now)
        if is_restored:
            self._finish_restore(previous, position, now)
        directory.advance(position, now)
        self._evacuation_monitor.update(now)
        if previous != START_POSITION and directory.position != previous:
            self._propagate_changes(previous, fanout, now)
        return True

    def _finish_restore(self, previous: Position, position: Position, now: float) -> None:
        """Removes the contents that the restored source does not have, and reports the restore.

        All changes of the new era have been applied, so a key without one is
        not in the source. Its server keeps accepting flows for a grace period,
        in which it may register again.
        """
        core = self._core
        lost_keys = core.directory.keys_before_era(position.era)
        for key in lost_keys:
            self._apply_change_guarded(SourceChange(key, position, None), now)
        core.counters.record_traffic(Traffic.SOURCE_RESTORES)
        core.log(
            LogEvent.SOURCE_RESTORED,
            f'{position} held_revision={previous.revision} held_era={previous.era} '
            f'lost={len(lost_keys)}',
        )

    def _propagate_changes(self, previous: Position, fanout: int, now: float) -> None:
        """Sends changes to some peers, which forward them.

        Changes that are too large for a datagram are only announced, by a
        heartbeat with the new revision; the peers fetch them.
        """
        core = self._core
        targets = core.fleet.sample_reachable_endpoints(fanout)
        if not targets:
            return
        reply = self.encode_changes_after(previous)
        size_bytes = sum(len(row.value) + len(row.key) for row in reply.rows)
        if size_bytes > MAX_UPDATE_BYTES:
            core.send_heartbeat(targets[:FETCH_FANOUT_PEERS], now)
            return
        message = DirectoryUpdate(*previous, *reply.position, reply.rows)
        core.actions.extend(SendMessage(target, message) for target in targets)

    def _apply_change_guarded(self, source_change: SourceChange, now: float) -> None:
        """Applies one change; a fault in it must not keep the others from being applied."""
        try:
            self._apply_change(source_change, now)
        except Exception as error:  # noqa: BLE001 the other changes are in force all the same
            self._core.counters.record_refusal(ErrorKind.INTERNAL_FAULT)
            detail = ascii(error)[:MAX_FAULT_CHARS]
            self._core.log(LogEvent.INTERNAL_FAULT, f'key={source_change.key!a} {detail}')

    def _apply_change(self, source_change: SourceChange, now: float) -> None:
        core = self._core
        if core.directory.confirm_unchanged(source_change):
            return
        try:
            change = self._decode_change(source_change)
        except DecodeError as error:
            core.counters.record_refusal(ErrorKind.RECORD_INVALID)
            core.log(LogEvent.RECORD_REFUSED, f'key={source_change.key} {error}')
            return
        if isinstance(change, ServerRemoved):
            # An entry that describes no usable server may be large, and peers need not have it.
            source_change = source_change._replace(value=None)
        held = core.directory.find_change(source_change.key)
        grace_s = max(self._source_recovered_at + SOURCE_RECOVERY_GRACE_S - now, 0)
        if core.directory.apply(source_change, change, now, grace_s):
            if isinstance(change, ServerRemoved) and change.fault:
                core.counters.record_refusal(ErrorKind.RECORD_INVALID)
                core.log(
                    LogEvent.ENTRY_REFUSED,
                    f'key={source_change.key} {source_change.position} fault="{change.fault}"',
                )
            core.log(
                LogEvent.RECORD_ADOPTED,
                f'key={source_change.key} {source_change.position} kind={type(change).__name__}',
            )
        elif held is not None and held.position != source_change.position:
            core.counters.record_traffic(Traffic.CHANGES_IGNORED)
            core.log(
                LogEvent.CHANGE_IGNORED,
                f'key={source_change.key} {source_change.position} '
                f'held_revision={held.position.revision} held_era={held.position.era}',
            )
