"""Store of the records in force, with versions that only rise, and address quarantine."""

from dataclasses import dataclass
from hashlib import blake2b

from result import Err, Ok, Result

from berylstair.errors import ErrorKind, Problem
from berylstair.ids import BackendId, Endpoint, InstanceId, ServiceName
from berylstair.message import QuarantineRow, RecordVersionRow
from berylstair.record import (
    BackendServer,
    Instance,
    InstancesRecord,
    Record,
    RecordKey,
    RecordVersion,
    ServiceRecord,
)
from berylstair.schema import KNOWN_SCHEMAS, load_text, parse_record

__all__ = [
    'BUCKET_COUNT',
    'MS_PER_S',
    'RecordRefusal',
    'RecordStore',
    'Service',
    'StoredRecord',
    'bucket_index',
]

_DIGEST_BYTES = 8
MS_PER_S = 1000
BUCKET_COUNT = 64


@dataclass(frozen=True, slots=True)
class StoredRecord:
    """A record in force, with its source text and the digest of that text."""

    record: Record
    text: str
    digest: bytes

    def to_row(self) -> RecordVersionRow:
        """Returns the row that tells peers which version is in force."""
        version = self.record.version
        return RecordVersionRow(self.record.key, version.version, version.schema, self.digest)


@dataclass(frozen=True, slots=True)
class RecordRefusal:
    """Reason why a record was not adopted."""

    kind: ErrorKind
    problems: list[Problem]


class Service:
    """A service record with the lookups that the packet path needs."""

    def __init__(self, record: ServiceRecord) -> None:
        """Indexes the record's backend servers by id and by address."""
        self.record = record
        self.name: ServiceName = record.name
        self.contract = record.contract
        self.server_by_id: dict[BackendId, BackendServer] = {
            server.id: server for server in record.backend_servers
        }
        self.server_by_address = {server.address: server for server in record.backend_servers}
        self.accepting_servers = tuple(
            server for server in record.backend_servers if server.is_accepting
        )


class RecordStore:
    """Holds the highest valid version of each record.

    Records enter only through ``apply_record_text``, whether they come from the
    platform or from a peer, so instances that have received the same records
    have the same versions in force.
    """

    def __init__(self) -> None:
        """Sets up an empty store."""
        self.stored_by_key: dict[RecordKey, StoredRecord] = {}
        self.service_by_address: dict[Endpoint, Service] = {}
        self.service_by_name: dict[ServiceName, Service] = {}
        self.instance_by_id: dict[InstanceId, Instance] = {}
        self.conflicting_digest_by_key: dict[RecordKey, bytes] = {}
        self._buckets = [0 for _ in range(BUCKET_COUNT)]
        self.digest = _digest(self.bucket_digests())
        self._owners_by_address: dict[Endpoint, dict[ServiceName, Service]] = {}
        self._stored_digests: set[bytes] = set()
        self._last_owner_by_address: dict[Endpoint, ServiceName] = {}
        self._quarantined_until_by_address: dict[Endpoint, float] = {}

    @property
    def list_version(self) -> int:
        """Version of the instances record; 0 if there is none."""
        stored = self.stored_by_key.get('instances')
        return stored.record.version.version if stored else 0

    def apply_record_text(self, place: str, text: str, now: float) -> Result[Record, RecordRefusal]:
        """Adopts a record if it is valid and newer than the one in force.

        Args:
            place: Where the text came from; quoted in problems.
            text: JSON with comments.
            now: Current time in seconds on a monotonic clock.

        Returns:
            The adopted record, or the reason why it was refused.
        """
        digest = _digest(text.encode())
        if digest in self._stored_digests:
            return Err(RecordRefusal(ErrorKind.RECORD_STALE, []))
        parsed = parse_record(place, text)
        if isinstance(parsed, Err):
            return Err(RecordRefusal(_classify_invalid_text(place, text), parsed.err_value))
        record = parsed.ok_value
        current = self.stored_by_key.get(record.key)
        if current is not None and not record.version.is_newer_than(current.record.version):
            return Err(self._refuse_record(record, current, digest))
        self._replace_record(StoredRecord(record, text, digest))
        self.conflicting_digest_by_key.pop(record.key, None)
        self._index(record, now)
        return Ok(record)

    def bucket_digests(self) -> bytes:
        """Returns the concatenated digests of all buckets."""
        return b''.join(bucket.to_bytes(_DIGEST_BYTES, 'big') for bucket in self._buckets)

    def rows_in_differing_buckets(self, digests: bytes) -> tuple[RecordVersionRow, ...]:
        """Returns the versions in the buckets whose digests differ from another store's.

        Args:
            digests: The other store's concatenated bucket digests.

        Returns:
            Versions in force here; empty if the lengths of the digests differ.
        """
        own = self.bucket_digests()
        if len(digests) != len(own):
            return ()
        offsets = range(0, len(own), _DIGEST_BYTES)
        differing_buckets = {
            offset // _DIGEST_BYTES
            for offset in offsets
            if own[offset : offset + _DIGEST_BYTES] != digests[offset : offset + _DIGEST_BYTES]
        }
        return tuple(row for row in self.rows() if bucket_index(row.key) in differing_buckets)

    def rows(self) -> tuple[RecordVersionRow, ...]:
        """Returns the versions in force."""
        return tuple(stored.to_row() for stored in self.stored_by_key.values())

    def outdated_keys(self, rows: tuple[RecordVersionRow, ...]) -> tuple[RecordKey, ...]:
        """Returns the keys of rows that are newer than this store and of a known schema."""
        return tuple(row.key for row in rows if self._is_newer(row))

    def texts_newer_than(self, rows: tuple[RecordVersionRow, ...]) -> tuple[str, ...]:
        """Returns the texts of records that are newer here than in the rows or not in them."""
        peer_version_by_key = {row.key: RecordVersion(row.version, row.schema) for row in rows}
        lowest = RecordVersion(0, 0)
        return tuple(
            stored.text
            for key, stored in self.stored_by_key.items()
            if stored.record.version.is_newer_than(peer_version_by_key.get(key, lowest))
        )

    def is_quarantined(self, address: Endpoint, now: float) -> bool:
        """Returns whether an address is in quarantine because another service used it before."""
        until = self._quarantined_until_by_address.get(address)
        return until is not None and now < until

    def quarantine_address(self, address: Endpoint, until: float) -> None:
        """Keeps an address from being served until the given time or a later one set before."""
        current_end = self._quarantined_until_by_address.get(address, until)
        self._quarantined_until_by_address[address] = max(current_end, until)

    def active_quarantines(self, now: float) -> tuple[QuarantineRow, ...]:
        """Returns the addresses in quarantine, with the milliseconds left."""
        return tuple(
            QuarantineRow(address.ip, address.port, round((until - now) * MS_PER_S))
            for address, until in self._quarantined_until_by_address.items()
            if until > now
        )

    def _is_newer(self, row: RecordVersionRow) -> bool:
        current = self.stored_by_key.get(row.key)
        if row.schema not in KNOWN_SCHEMAS:
            return False
        offered = RecordVersion(row.version, row.schema)
        return current is None or offered.is_newer_than(current.record.version)

    def _refuse_record(self, record: Record, current: StoredRecord, digest: bytes) -> RecordRefusal:
        if record.version != current.record.version:
            return RecordRefusal(ErrorKind.RECORD_STALE, [])
        self.conflicting_digest_by_key[record.key] = digest
        version = record.version.version
        fault = (
            f'content of version {version} differs from the content in force; '
            f'publish version {version + 1}'
        )
        return RecordRefusal(ErrorKind.RECORD_CONFLICT, [Problem(record.key, 'version', fault)])

    def _replace_record(self, stored: StoredRecord) -> None:
        """Stores a record and updates its bucket digest, the XOR of the bucket's row hashes."""
        replaced = self.stored_by_key.get(stored.record.key)
        self.stored_by_key[stored.record.key] = stored
        if replaced is not None:
            self._stored_digests.discard(replaced.digest)
            self._toggle_in_bucket(replaced)
        self._stored_digests.add(stored.digest)
        self._toggle_in_bucket(stored)
        self.digest = _digest(self.bucket_digests())

    def _toggle_in_bucket(self, stored: StoredRecord) -> None:
        row = stored.to_row()
        index = bucket_index(row.key)
        row_hash = int.from_bytes(_digest(repr(tuple(row)).encode()), 'big')
        self._buckets[index] ^= row_hash

    def _index(self, record: Record, now: float) -> None:
        if isinstance(record, InstancesRecord):
            self.instance_by_id = {instance.id: instance for instance in record.instances}
        else:
            self._index_service(record, now)

    def _index_service(self, record: ServiceRecord, now: float) -> None:
        service = Service(record)
        self.service_by_name[record.name] = service
        listed_addresses = set(record.addresses)
        for address, owners in self._owners_by_address.items():
            if address not in listed_addresses and owners.pop(record.name, None):
                self._update_served_address(address)
        for address in record.addresses:
            self._owners_by_address.setdefault(address, {})[record.name] = service
            self._quarantine_if_reused(address, service, now)
            self._update_served_address(address)

    def _quarantine_if_reused(self, address: Endpoint, service: Service, now: float) -> None:
        last_owner = self._last_owner_by_address.get(address)
        if last_owner is not None and last_owner != service.name:
            self.quarantine_address(address, now + service.record.quarantine_s)
        self._last_owner_by_address[address] = service.name

    def _update_served_address(self, address: Endpoint) -> None:
        """Maps an address to its service only while exactly one record in force lists it."""
        owners = tuple(self._owners_by_address[address].values())
        if len(owners) == 1:
            self.service_by_address[address] = owners[0]
        else:
            self.service_by_address.pop(address, None)


def bucket_index(key: RecordKey) -> int:
    """Returns the bucket index of a record key, which is the same in every process."""
    return _digest(key.encode())[0] % BUCKET_COUNT


def _digest(data: bytes) -> bytes:
    return blake2b(data, digest_size=_DIGEST_BYTES).digest()


def _classify_invalid_text(place: str, text: str) -> ErrorKind:
    loaded = load_text(place, text)
    if isinstance(loaded, Err):
        return ErrorKind.RECORD_INVALID
    schema = loaded.ok_value.get('schema')
    if isinstance(schema, int) and schema > max(KNOWN_SCHEMAS):
        return ErrorKind.RECORD_UNKNOWN_SCHEMA
    return ErrorKind.RECORD_INVALID
