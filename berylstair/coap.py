"""CoAP messages (RFC 7252), decoded and encoded with aiocoap."""

from enum import Enum, unique
from typing import NamedTuple

from aiocoap import ACK, CON, NON, Message
from aiocoap.error import Error as CoapError
from aiocoap.numbers.codes import Code

from berylstair.errors import DecodeError, ErrorResponse

__all__ = [
    'CoapRequest',
    'CoapResponse',
    'DatagramKind',
    'classify_datagram',
    'decode_request',
    'decode_request_header',
    'encode_error_response',
    'rewrite_response',
]

_HEADER_BYTES = 4
_MAX_TOKEN_BYTES = 8
_COAP_VERSION = 1
_REQUEST_CODES = range(1, 32)
_RESPONSE_CODES = range(64, 192)
_ACK_TYPE = 2
_CON_TYPE = 0
_NON_TYPE = 1
_SERVICE_UNAVAILABLE_CODE = 0xA3
_CONTINUE_CODE = 0x5F
_METHOD_CODES = range(1, 8)


@unique
class DatagramKind(Enum):
    """Kind of a CoAP datagram, judged by its fixed header."""

    REQUEST = 'request'
    RESPONSE = 'response'
    EMPTY = 'empty'
    MALFORMED = 'malformed'


class CoapRequest(NamedTuple):
    """The parts of a request that routing needs.

    Attributes:
        method: Name of the method.
        path: Path with a leading slash.
        token: Token, at most eight bytes.
        message_id: 16-bit message id.
        is_confirmable: Whether the caller retransmits until acknowledged.
        block_number: Number of the block if the request continues a block-wise
            transfer, else 0.
    """

    method: str
    path: str
    token: bytes
    message_id: int
    is_confirmable: bool
    block_number: int


class CoapResponse(NamedTuple):
    """A backend server's response, rewritten for the caller.

    Attributes:
        datagram: Datagram to relay.
        is_shed: Whether the backend server refused the work (5.03).
        has_more_blocks: Whether further blocks follow.
    """

    datagram: bytes
    is_shed: bool
    has_more_blocks: bool


def classify_datagram(datagram: bytes) -> DatagramKind:
    """Classifies a datagram by its first four bytes.

    Args:
        datagram: As received.

    Returns:
        The kind; MALFORMED if the fixed header violates RFC 7252.
    """
    if len(datagram) < _HEADER_BYTES or datagram[0] >> 6 != _COAP_VERSION:
        return DatagramKind.MALFORMED
    if datagram[0] & 0x0F > min(_MAX_TOKEN_BYTES, len(datagram) - _HEADER_BYTES):
        return DatagramKind.MALFORMED
    code = datagram[1]
    if code == 0:
        return DatagramKind.EMPTY
    if code in _REQUEST_CODES:
        is_request_type = (datagram[0] >> 4) & 3 in {_CON_TYPE, _NON_TYPE}
        return DatagramKind.REQUEST if is_request_type else DatagramKind.MALFORMED
    return DatagramKind.RESPONSE if code in _RESPONSE_CODES else DatagramKind.MALFORMED


def decode_request(datagram: bytes) -> CoapRequest:
    """Decodes a request.

    Args:
        datagram: A datagram whose kind is REQUEST.

    Returns:
        The parts that routing needs.

    Raises:
        DecodeError: The options cannot be decoded or the method is unknown.
    """
    if datagram[1] not in _METHOD_CODES:
        raise DecodeError(f'unknown CoAP method code {datagram[1]}')
    message = _decode(datagram)
    blocks = (message.opt.block2, message.opt.block1)
    return CoapRequest(
        message.code.name,
        '/'.join(('', *message.opt.uri_path)),
        message.token,
        message.mid,
        message.mtype is CON,
        max(block.block_number if block else 0 for block in blocks),
    )


def decode_request_header(datagram: bytes) -> CoapRequest:
    """Decodes the header fields that an error response to a request needs.

    Works for requests whose options cannot be decoded.

    Args:
        datagram: A datagram whose kind is REQUEST.

    Returns:
        Token, message id and type; method and path are empty.
    """
    token = datagram[_HEADER_BYTES : _HEADER_BYTES + (datagram[0] & 0x0F)]
    is_confirmable = (datagram[0] >> 4) & 3 == _CON_TYPE
    return CoapRequest('', '', token, int.from_bytes(datagram[2:4], 'big'), is_confirmable, 0)


def rewrite_response(datagram: bytes, request: CoapRequest) -> CoapResponse:
    """Checks a backend server's response and rewrites its header for the caller.

    The response to a confirmable request becomes a piggybacked acknowledgement
    (RFC 7252, 5.2.1), any other a non-confirmable message, regardless of the
    type that the backend server used.

    Args:
        datagram: The response as received.
        request: The request that it should belong to.

    Returns:
        The datagram for the caller and the properties of the response.

    Raises:
        DecodeError: The datagram is not a response, its token is not that of
            the request, or its options cannot be decoded.
    """
    if classify_datagram(datagram) is not DatagramKind.RESPONSE:
        raise DecodeError('datagram is not a CoAP response')
    token_length = datagram[0] & 0x0F
    if datagram[_HEADER_BYTES : _HEADER_BYTES + token_length] != request.token:
        raise DecodeError('response token differs from that of the request')
    message = _decode(datagram)
    block = message.opt.block2
    mtype = _ACK_TYPE if request.is_confirmable else _NON_TYPE
    first_byte = (_COAP_VERSION << 6) | (mtype << 4) | token_length
    header = bytes((first_byte, datagram[1])) + request.message_id.to_bytes(2, 'big')
    return CoapResponse(
        header + datagram[_HEADER_BYTES:],
        datagram[1] == _SERVICE_UNAVAILABLE_CODE,
        bool(block and block.more) or datagram[1] == _CONTINUE_CODE,
    )


def encode_error_response(
    request: CoapRequest,
    error_response: ErrorResponse,
    reason: str,
    max_age_s: int = 0,
) -> bytes:
    """Encodes an error response.

    Args:
        request: The request to respond to.
        error_response: Response code, and whether it advises a retry.
        reason: Diagnostic payload (RFC 7252, 5.5.2).
        max_age_s: Max-Age in seconds, set if the response advises a retry.

    Returns:
        The datagram for the caller.
    """
    message = Message(
        _mtype=ACK if request.is_confirmable else NON,
        _mid=request.message_id,
        code=Code(error_response.code),
        _token=request.token,
        payload=reason.encode(),
    )
    if error_response.has_retry_advice:
        message.opt.max_age = max_age_s
    return message.encode()


def _decode(datagram: bytes) -> Message:
    try:
        return Message.decode(datagram)
    except (CoapError, ValueError, IndexError) as error:
        raise DecodeError(f'cannot decode CoAP options: {error!r}') from error
