"""Exchange of records and address quarantines between instances."""

from collections.abc import Callable

from result import Err

from berylstair.catalogue import LogEvent
from berylstair.core import Core
from berylstair.errors import ErrorKind
from berylstair.ids import Endpoint, InstanceId
from berylstair.message import (
    AddressQuarantines,
    RecordBucketDigests,
    RecordReply,
    RecordRequest,
    RecordVersionRow,
    RecordVersions,
)
from berylstair.record import InstancesRecord, Record
from berylstair.view import MS_PER_S, RecordRefusal

__all__ = ['RecordExchange']

RecordCallback = Callable[[Record, float], None]

_LOGGED_REFUSAL_KINDS = frozenset(
    (ErrorKind.RECORD_INVALID, ErrorKind.RECORD_CONFLICT, ErrorKind.RECORD_UNKNOWN_SCHEMA),
)


class RecordExchange:
    """Applies received records to the store and announces new ones to the peers."""

    def __init__(self, core: Core, on_adopted: RecordCallback) -> None:
        """Sets up an exchange without connected peers.

        Args:
            core: Shared state.
            on_adopted: Called with each record that comes into force.
        """
        self.connected_peers: set[InstanceId] = set()
        self._differing_peers: set[InstanceId] = set()
        self._core = core
        self._on_adopted = on_adopted

    def apply_record_text(self, place: str, text: str, now: float) -> None:
        """Adopts a record if it is newer, and announces it to the peers.

        Args:
            place: Where the text came from, for log lines.
            text: Text of the record.
            now: Current time in seconds.
        """
        outcome = self._core.store.apply_record_text(place, text, now)
        if isinstance(outcome, Err):
            self._record_refusal(place, outcome.err_value)
            return
        record = outcome.ok_value
        version = record.version
        detail = f'key={record.key} version={version.version} schema={version.schema} from={place}'
        self._core.log(LogEvent.RECORD_ADOPTED, detail)
        if isinstance(record, InstancesRecord):
            own = self._core.settings.instance
            self._core.instance_lists.apply_record(record, text, own, now)
        row = self._core.store.stored_by_key[record.key].to_row()
        for peer in sorted(self.connected_peers):
            self._core.send(peer, RecordVersions((row,)))
        self._on_adopted(record, now)

    def handle_peer_opened(self, peer: InstanceId, now: float) -> None:
        """Sends the record digests and active quarantines to a newly connected peer."""
        self.connected_peers.add(peer)
        self._core.send(peer, RecordBucketDigests(self._core.store.bucket_digests()))
        quarantines = self._core.store.active_quarantines(now)
        if quarantines:
            self._core.send(peer, AddressQuarantines(quarantines))

    def handle_digest(self, peer: InstanceId, digest: bytes) -> None:
        """Sends bucket digests to a peer whose digest differs twice in succession.

        A single difference is most often a change that is still spreading.
        """
        store = self._core.store
        differs = digest != store.digest
        if differs and peer in self._differing_peers:
            self._core.send(peer, RecordBucketDigests(store.bucket_digests()))
        if differs:
            self._differing_peers.add(peer)
        else:
            self._differing_peers.discard(peer)

    def handle_bucket_digests(self, peer: InstanceId, message: RecordBucketDigests) -> None:
        """Sends the record versions in the buckets that differ."""
        rows = self._core.store.rows_in_differing_buckets(message.digests)
        if rows:
            self._core.send(peer, RecordVersions(rows))

    def handle_record_versions(self, peer: InstanceId, message: RecordVersions, now: float) -> None:
        """Requests the records that are newer at the peer."""
        wanted = self._core.store.outdated_keys(message.records)
        if wanted:
            self._core.send(peer, RecordRequest(wanted))
        self._record_conflicts(message.records)

    def handle_record_request(self, peer: InstanceId, message: RecordRequest) -> None:
        """Sends the records that a peer requested."""
        stored_by_key = self._core.store.stored_by_key
        for key in message.keys:
            if key in stored_by_key:
                self._core.send(peer, RecordReply((stored_by_key[key].text,)))

    def handle_record_reply(self, peer: InstanceId, message: RecordReply, now: float) -> None:
        """Applies records received from a peer."""
        for text in message.texts:
            self.apply_record_text(f'peer {peer}', text, now)

    def handle_address_quarantines(self, message: AddressQuarantines, now: float) -> None:
        """Quarantines the addresses that are quarantined at a peer."""
        for row in message.quarantines:
            address = Endpoint(row.ip, row.port)
            self._core.store.quarantine_address(address, now + row.remaining_ms / MS_PER_S)
            self._core.log(LogEvent.ADDRESS_HELD, f'address={address} left_ms={row.remaining_ms}')

    def _record_refusal(self, place: str, refusal: RecordRefusal) -> None:
        self._core.counters.record_refusal(refusal.kind)
        if refusal.kind in _LOGGED_REFUSAL_KINDS:
            is_conflict = refusal.kind is ErrorKind.RECORD_CONFLICT
            event = LogEvent.RECORD_CONFLICT if is_conflict else LogEvent.RECORD_REFUSED
            problems = '; '.join(str(problem) for problem in refusal.problems)
            self._core.log(event, f'from={place} {refusal.kind.value}: {problems}')

    def _record_conflicts(self, rows: tuple[RecordVersionRow, ...]) -> None:
        """Records that a peer has other content under the same version as in force here."""
        store = self._core.store
        for row in rows:
            stored = store.stored_by_key.get(row.key)
            if stored is None or row == stored.to_row():
                continue
            if (
                row[:3] == stored.to_row()[:3]
                and store.conflicting_digest_by_key.get(row.key) != row.digest
            ):
                store.conflicting_digest_by_key[row.key] = row.digest
                self._core.counters.record_refusal(ErrorKind.RECORD_CONFLICT)
                detail = f'key={row.key} version={row.version}: content at a peer differs'
                self._core.log(LogEvent.RECORD_CONFLICT, detail)
