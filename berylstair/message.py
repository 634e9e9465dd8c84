"""Messages between entry instances."""

from dataclasses import dataclass
from enum import IntEnum, unique
from typing import Any, NamedTuple

from berylstair.codec import MessageCodec
from berylstair.heartbeat import Heartbeat, LoadRow

__all__ = [
    'AddressQuarantines',
    'BindingCopy',
    'BindingLease',
    'BindingRow',
    'CachingMessageEncoder',
    'ClaimMode',
    'ClaimReply',
    'ClaimRequest',
    'ClaimRow',
    'FlowLookupReply',
    'FlowLookupRequest',
    'GrantRow',
    'HandoverAck',
    'Heartbeat',
    'Hello',
    'InstanceListHistory',
    'LoadRow',
    'Message',
    'QuarantineRow',
    'RecordBucketDigests',
    'RecordReply',
    'RecordRequest',
    'RecordVersionRow',
    'RecordVersions',
    'ResponseHandover',
    'ResponseRow',
    'Verdict',
    'VerdictRow',
    'WitnessRoleAcceptance',
    'WitnessRoleHandover',
    'WitnessRoleOffer',
    'decode_message',
    'encode_message',
]


@unique
class ClaimMode(IntEnum):
    """How a claimant wants to hold a request id.

    SHARED permits other shared holders, EXCLUSIVE permits no other holder.
    """

    SHARED = 1
    EXCLUSIVE = 2


@unique
class Verdict(IntEnum):
    """Decision of a witness on one request id."""

    GRANTED = 1
    DENIED = 2
    ABSTAINED = 3


class RecordVersionRow(NamedTuple):
    """Version and digest of one record in force at the sender."""

    key: str
    version: int
    schema: int
    digest: bytes


class ClaimRow(NamedTuple):
    """One request id to claim."""

    request_id: bytes
    mode: int


class VerdictRow(NamedTuple):
    """Verdict on one request id; ``holder`` is empty unless it is denied."""

    request_id: bytes
    verdict: int
    holder: str


class GrantRow(NamedTuple):
    """One holder of a grant; ``remaining_ms`` is the remaining lifetime of the grant."""

    request_id: bytes
    mode: int
    holder: str
    incarnation: int
    remaining_ms: int


class BindingRow(NamedTuple):
    """A flow and its backend server; ``remaining_s`` is the remaining lifetime."""

    flow_key: bytes
    service: str
    backend: str
    remaining_s: int


class ResponseRow(NamedTuple):
    """A finished request and its response, to be kept for ``remaining_s`` seconds."""

    request_id: bytes
    response: bytes
    remaining_s: int


class QuarantineRow(NamedTuple):
    """An address in quarantine: not served yet, as another service used it before."""

    ip: str
    port: int
    remaining_ms: int


@dataclass(frozen=True, slots=True)
class Hello:
    """First message on a connection."""

    instance: str
    incarnation: int
    zone: str


@dataclass(frozen=True, slots=True)
class RecordBucketDigests:
    """Digests of the buckets of records in force.

    Sent to a newly connected peer, and to one whose digest over all records
    differs in two heartbeats in a row.

    Attributes:
        digests: One digest per bucket, concatenated; see ``view``.
    """

    digests: bytes


@dataclass(frozen=True, slots=True)
class RecordVersions:
    """Versions in force of records that are new or may differ at the receiver."""

    records: tuple[RecordVersionRow, ...]


@dataclass(frozen=True, slots=True)
class RecordRequest:
    """Keys of the records that the sender asks for."""

    keys: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class RecordReply:
    """Full texts of the requested records."""

    texts: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class ClaimRequest:
    """Asks a witness for grants of a batch of request ids.

    Attributes:
        witness: Owner of the witness role; a deputy may host it.
        incarnation: Start time of the claimant in ms.
        list_version: Version of the instance list in force at the claimant.
        quorum_list_versions: Versions of all instance lists in which the claimant
            needs a quorum.
    """

    witness: str
    incarnation: int
    list_version: int
    quorum_list_versions: tuple[int, ...]
    claims: tuple[ClaimRow, ...]


@dataclass(frozen=True, slots=True)
class ClaimReply:
    """Verdicts of one witness role, under the list version in force at its host."""

    witness: str
    list_version: int
    verdicts: tuple[VerdictRow, ...]


@dataclass(frozen=True, slots=True)
class InstanceListHistory:
    """Texts of replaced instances records in which claims still need a quorum."""

    texts: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class BindingLease:
    """Tells an instance that relays flows which backend servers they are bound to."""

    bindings: tuple[BindingRow, ...]


@dataclass(frozen=True, slots=True)
class BindingCopy:
    """Copies bindings to a successor or a new home.

    Attributes:
        handover_id: Id to confirm with a ``HandoverAck``; 0 asks for none.
    """

    handover_id: int
    bindings: tuple[BindingRow, ...]


@dataclass(frozen=True, slots=True)
class FlowLookupRequest:
    """Asks for the bindings of flows that the receiver knows."""

    keys: tuple[bytes, ...]


@dataclass(frozen=True, slots=True)
class FlowLookupReply:
    """Answers a ``FlowLookupRequest``; an empty backend means an unknown flow."""

    bindings: tuple[BindingRow, ...]


@dataclass(frozen=True, slots=True)
class ResponseHandover:
    """Hands stored responses over to the remaining instances at a planned stop."""

    handover_id: int
    responses: tuple[ResponseRow, ...]


@dataclass(frozen=True, slots=True)
class HandoverAck:
    """Confirms a batch of bindings or responses that was handed over."""

    handover_id: int


@dataclass(frozen=True, slots=True)
class AddressQuarantines:
    """Tells a newly connected peer which addresses are in quarantine."""

    quarantines: tuple[QuarantineRow, ...]


@dataclass(frozen=True, slots=True)
class WitnessRoleOffer:
    """Asks the receiver to take over a witness role."""

    owner: str


@dataclass(frozen=True, slots=True)
class WitnessRoleAcceptance:
    """Agrees to take over a witness role.

    Attributes:
        token: The sender's clock in ms, repeated in the handover.
    """

    owner: str
    token: int


@dataclass(frozen=True, slots=True)
class WitnessRoleHandover:
    """Hands over a part of the grants of a witness role.

    Attributes:
        token: Token of the ``WitnessRoleAcceptance`` that this answers.
        abstention_ms: Remaining time for which the role abstains, in ms.
    """

    owner: str
    token: int
    part_index: int
    part_count: int
    abstention_ms: int
    grants: tuple[GrantRow, ...]


Message = (
    Hello
    | Heartbeat
    | RecordVersions
    | RecordRequest
    | RecordReply
    | ClaimRequest
    | ClaimReply
    | BindingLease
    | BindingCopy
    | FlowLookupRequest
    | FlowLookupReply
    | ResponseHandover
    | HandoverAck
    | AddressQuarantines
    | InstanceListHistory
    | RecordBucketDigests
    | WitnessRoleOffer
    | WitnessRoleAcceptance
    | WitnessRoleHandover
)

_MESSAGE_TYPES: tuple[type[Any], ...] = (
    Hello,
    Heartbeat,
    RecordVersions,
    RecordRequest,
    RecordReply,
    ClaimRequest,
    ClaimReply,
    BindingLease,
    BindingCopy,
    FlowLookupRequest,
    FlowLookupReply,
    ResponseHandover,
    HandoverAck,
    AddressQuarantines,
    InstanceListHistory,
    RecordBucketDigests,
    WitnessRoleOffer,
    WitnessRoleAcceptance,
    WitnessRoleHandover,
)

# Element type of each field that holds a batch.
_ELEMENT_TYPE_BY_FIELD: dict[tuple[type[Any], str], type[Any]] = {
    (Heartbeat, 'deputy_for'): str,
    (Heartbeat, 'load'): LoadRow,
    (WitnessRoleHandover, 'grants'): GrantRow,
    (RecordVersions, 'records'): RecordVersionRow,
    (RecordRequest, 'keys'): str,
    (RecordReply, 'texts'): str,
    (ClaimRequest, 'quorum_list_versions'): int,
    (ClaimRequest, 'claims'): ClaimRow,
    (InstanceListHistory, 'texts'): str,
    (ClaimReply, 'verdicts'): VerdictRow,
    (BindingLease, 'bindings'): BindingRow,
    (BindingCopy, 'bindings'): BindingRow,
    (FlowLookupRequest, 'keys'): bytes,
    (FlowLookupReply, 'bindings'): BindingRow,
    (ResponseHandover, 'responses'): ResponseRow,
    (AddressQuarantines, 'quarantines'): QuarantineRow,
}


_CODEC = MessageCodec(_MESSAGE_TYPES, _ELEMENT_TYPE_BY_FIELD)


def encode_message(message: Message) -> bytes:
    """Encodes a message.

    Args:
        message: Any of the message types.

    Returns:
        One CBOR array.
    """
    return _CODEC.encode(message)


class CachingMessageEncoder:
    """Encodes a message only once if it is sent to several peers in a row."""

    def __init__(self) -> None:
        """Sets up an empty cache for one message."""
        self._last_message: Message | None = None
        self._last_encoded = b''

    def encode(self, message: Message) -> bytes:
        """Returns the encoded message."""
        if message is not self._last_message:
            self._last_message = message
            self._last_encoded = encode_message(message)
        return self._last_encoded


def decode_message(data: bytes) -> Message:
    """Decodes and checks a message.

    Args:
        data: One CBOR array.

    Returns:
        The typed message.

    Raises:
        DecodeError: The data is not CBOR, the type number is unknown, or the
            fields do not match the message type in number or type.
    """
    return _CODEC.decode(data)
