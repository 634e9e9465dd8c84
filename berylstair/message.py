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

    SHARED permits a run beside other holders, EXCLUSIVE excludes them.
    """

    SHARED = 1
    EXCLUSIVE = 2


@unique
class Verdict(IntEnum):
    """A witness's answer about one request id."""

    GRANTED = 1
    DENIED = 2
    ABSTAINED = 3


class RecordVersionRow(NamedTuple):
    """Version of one record in force at the sender."""

    key: str
    version: int
    schema: int
    digest: bytes


class ClaimRow(NamedTuple):
    """One request id to claim."""

    request_id: bytes
    mode: int


class VerdictRow(NamedTuple):
    """Answer about one request id; the holder is empty unless denied."""

    request_id: bytes
    verdict: int
    holder: str


class GrantRow(NamedTuple):
    """One holder of a grant; ``left_ms`` is the life of the grant left."""

    request_id: bytes
    mode: int
    holder: str
    incarnation: int
    remaining_ms: int


class BindingRow(NamedTuple):
    """A flow and its backend server; ``idle_s`` is the life left, in seconds."""

    flow_key: bytes
    service: str
    backend: str
    remaining_s: int


class ResponseRow(NamedTuple):
    """A finished request, its answer, and the seconds it is still kept."""

    request_id: bytes
    response: bytes
    remaining_s: int


class QuarantineRow(NamedTuple):
    """An address that rests after another service used it."""

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
    """Digests of parts of the records in force, sent where the whole differs.

    Attributes:
        digests: One digest a bucket, joined; see ``view``.
    """

    digests: bytes


@dataclass(frozen=True, slots=True)
class RecordVersions:
    """Versions in force of records that differ or are new."""

    records: tuple[RecordVersionRow, ...]


@dataclass(frozen=True, slots=True)
class RecordRequest:
    """Keys of the records that the sender asks for."""

    keys: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class RecordReply:
    """Full texts of records."""

    texts: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class ClaimRequest:
    """Asks a witness for a batch of request ids.

    Attributes:
        witness: Instance whose witness role is asked.
        incarnation: Start time of the claimant in ms.
        list_version: List in force at the claimant.
        lists: Versions of all lists that the claimant takes a quorum from.
    """

    witness: str
    incarnation: int
    list_version: int
    quorum_list_versions: tuple[int, ...]
    claims: tuple[ClaimRow, ...]


@dataclass(frozen=True, slots=True)
class ClaimReply:
    """Verdicts of one witness role under the list version adopted there."""

    witness: str
    list_version: int
    verdicts: tuple[VerdictRow, ...]


@dataclass(frozen=True, slots=True)
class InstanceListHistory:
    """Texts of replaced instances records that claims still have to count."""

    texts: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class BindingLease:
    """Tells a relaying instance which backend servers flows belong to."""

    bindings: tuple[BindingRow, ...]


@dataclass(frozen=True, slots=True)
class BindingCopy:
    """Copies bindings to a successor or a new home."""

    handover_id: int
    bindings: tuple[BindingRow, ...]


@dataclass(frozen=True, slots=True)
class FlowLookupRequest:
    """Asks whether the receiver knows these flows."""

    keys: tuple[bytes, ...]


@dataclass(frozen=True, slots=True)
class FlowLookupReply:
    """Answers a lookup; an empty backend means unknown."""

    bindings: tuple[BindingRow, ...]


@dataclass(frozen=True, slots=True)
class ResponseHandover:
    """Hands stored answers to the next dispatcher at a planned stop."""

    handover_id: int
    responses: tuple[ResponseRow, ...]


@dataclass(frozen=True, slots=True)
class HandoverAck:
    """Confirms a handover batch."""

    handover_id: int


@dataclass(frozen=True, slots=True)
class AddressQuarantines:
    """Tells a newcomer which addresses rest."""

    quarantines: tuple[QuarantineRow, ...]


@dataclass(frozen=True, slots=True)
class WitnessRoleOffer:
    """Asks whether the receiver takes over a witness role."""

    owner: str


@dataclass(frozen=True, slots=True)
class WitnessRoleAcceptance:
    """Agrees to take a witness role over.

    Attributes:
        token: The sender's clock in ms, returned with the role.
    """

    owner: str
    token: int


@dataclass(frozen=True, slots=True)
class WitnessRoleHandover:
    """Hands over a part of a witness role's memory.

    Attributes:
        token: From the RoleReady that this answers, 0 for a role that goes
            back to its owner.
        abstain_ms: Abstention of the role that is left.
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
    """Encodes a message that goes to many peers in a row only once."""

    def __init__(self) -> None:
        """Starts with nothing encoded."""
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
        DecodeError: Not CBOR, an unknown type number, or a field of another
            type than the message's.
    """
    return _CODEC.decode(data)
