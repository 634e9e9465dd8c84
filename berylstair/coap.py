"""CoAP messages (RFC 7252), read and written with aiocoap's codec."""

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
    """What a CoAP datagram is, told by its fixed header."""

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
        confirmable: Whether the caller retransmits until acknowledged.
        block: Number of the block where the request continues a block-wise
            transfer, else 0.
    """

    method: str
    path: str
    token: bytes
    message_id: int
    is_confirmable: bool
    block_number: int


class CoapResponse(NamedTuple):
    """An answer of a backend server, rewritten for the caller.

    Attributes:
        payload: Datagram to relay.
        shed: True where the backend server refused the work (5.03).
        more: True where further blocks follow.
    """

    datagram: bytes
    is_shed: bool
    has_more_blocks: bool


def classify_datagram(datagram: bytes) -> DatagramKind:
    """Classifies a datagram by its first four bytes.

    Args:
        datagram: As received.

    Returns:
        The role; MALFORMED where the fixed header breaks RFC 7252.
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
        datagram: A datagram whose role is REQUEST.

    Returns:
        The parts that routing needs.

    Raises:
        DecodeError: The options cannot be read or the method is unknown.
    """
    if datagram[1] not in _METHOD_CODES:
        raise DecodeError(f'unknown method {datagram[1]}')
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
    """Reads only what an error answer needs of a request that does not decode.

    Args:
        datagram: A datagram whose role is REQUEST.

    Returns:
        Token, message id and type; no method and no path.
    """
    token = datagram[_HEADER_BYTES : _HEADER_BYTES + (datagram[0] & 0x0F)]
    is_confirmable = (datagram[0] >> 4) & 3 == _CON_TYPE
    return CoapRequest('', '', token, int.from_bytes(datagram[2:4], 'big'), is_confirmable, 0)


def rewrite_response(datagram: bytes, request: CoapRequest) -> CoapResponse:
    """Checks a backend server's answer and addresses it to the caller.

    The answer becomes a piggybacked acknowledgement of a confirmable request
    (RFC 7252, 5.2.1) or a non-confirmable message, whichever way the backend
    server sent it.

    Args:
        datagram: The answer as received.
        request: The request it should answer.

    Returns:
        The datagram for the caller and what the answer says.

    Raises:
        DecodeError: Not a response, or its token is another request's.
    """
    if classify_datagram(datagram) is not DatagramKind.RESPONSE:
        raise DecodeError('not a response')
    token_length = datagram[0] & 0x0F
    if datagram[_HEADER_BYTES : _HEADER_BYTES + token_length] != request.token:
        raise DecodeError('token of another request')
    message = _decode(datagram)
    block = message.opt.block2
    mtype = _ACK_TYPE if request.is_confirmable else _NON_TYPE
    first = (_COAP_VERSION << 6) | (mtype << 4) | token_length
    head = bytes((first, datagram[1])) + request.message_id.to_bytes(2, 'big')
    return CoapResponse(
        head + datagram[_HEADER_BYTES:],
        datagram[1] == _SERVICE_UNAVAILABLE_CODE,
        bool(block and block.more) or datagram[1] == _CONTINUE_CODE,
    )


def encode_error_response(
    request: CoapRequest,
    error_response: ErrorResponse,
    reason: str,
    max_age_s: int = 0,
) -> bytes:
    """Encodes an error answer.

    Args:
        request: The request to answer.
        answer: Code and retry advice.
        reason: Diagnostic payload (RFC 7252, 5.5.2).
        max_age_s: Seconds for Max-Age where the answer advises a retry.

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
        raise DecodeError(f'bad options: {error!r}') from error
