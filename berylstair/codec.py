"""CBOR encoding of typed messages between instances.

A message is encoded as one CBOR array: its type number, then its fields in the
order of their definition. Rows inside a message are arrays without field names
as well, which keeps batches small.
"""

from collections.abc import Callable, Mapping
from enum import IntEnum
from typing import Any, NamedTuple

import cbor2

from berylstair.errors import DecodeError

__all__ = ['MessageCodec']

_MAX_BATCH_ROWS = 65536
_INTEGER_LIMIT = 1 << 63
_MAX_FAULT_CHARS = 200


class _RowLayout(NamedTuple):
    """Fields of a row type.

    Attributes:
        encoded_types: Types of the fields as CBOR has them.
        integer_decoders: Index of each integer field, and what decodes it.
    """

    encoded_types: tuple[type[Any], ...]
    integer_decoders: tuple[tuple[int, Callable[[int], int]], ...]


class MessageCodec:
    """Encodes and decodes a fixed set of message types."""

    def __init__(
        self,
        message_types: tuple[type[Any], ...],
        element_type_by_field: Mapping[tuple[type[Any], str], type[Any]],
    ) -> None:
        """Derives the field layouts from the message types.

        Args:
            message_types: Dataclasses or named tuples; the position is the type number.
            element_type_by_field: Element type of each field that holds a batch.
        """
        self._message_types = message_types
        self._number_by_type = {kind: number for number, kind in enumerate(message_types)}
        self._layout_by_type = {
            kind: tuple(
                (field_type, element_type_by_field.get((kind, name)))
                for name, field_type in kind.__annotations__.items()
            )
            for kind in message_types
        }
        self._layout_by_row_type = {
            row_type: _make_row_layout(row_type)
            for row_type in element_type_by_field.values()
            if hasattr(row_type, '_make')
        }

    def encode(self, message: Any) -> bytes:
        """Encodes a message.

        Args:
            message: Any of the message types.

        Returns:
            One CBOR array.
        """
        kind = type(message)
        values = [getattr(message, name) for name in kind.__annotations__]
        return cbor2.dumps([self._number_by_type[kind], *values])

    def decode(self, data: bytes) -> Any:
        """Decodes and checks a message.

        Args:
            data: One CBOR array.

        Returns:
            The typed message.

        Raises:
            DecodeError: The data is not CBOR, the type number is unknown, or the
                fields do not match the message type in number or type.
        """
        try:
            loaded = cbor2.loads(data)
        except Exception as error:
            # CBOR has types of its own, such as fractions and patterns, which raise anything.
            raise DecodeError(f'not CBOR: {ascii(error)[:_MAX_FAULT_CHARS]}') from error
        if not isinstance(loaded, list) or not loaded:
            raise DecodeError('message is not a CBOR array or is empty')
        number, *values = loaded
        if type(number) is not int or not 0 <= number < len(self._message_types):
            # The value itself may be longer than any memory: CBOR lists can share elements.
            raise DecodeError(f'unknown message type, a {type(number).__name__}')
        message_type = self._message_types[number]
        layout = self._layout_by_type[message_type]
        if len(values) != len(layout):
            raise DecodeError(
                f'{message_type.__name__} with a wrong number of fields: {len(values)} found'
            )
        pairs = zip(values, layout, strict=True)
        return message_type(*[self._decode_field(value, *expected) for value, expected in pairs])

    def _decode_field(self, value: Any, expected: Any, element_type: Any) -> Any:
        if element_type is None:
            if type(value) is not expected:
                raise DecodeError(f'found {type(value).__name__}, expected {expected.__name__}')
            return _check_integer(value) if expected is int else value
        if not isinstance(value, list) or len(value) > _MAX_BATCH_ROWS:
            raise DecodeError('batch field is not an array or has too many elements')
        layout = self._layout_by_row_type.get(element_type)
        if layout is None:
            return tuple([self._decode_field(element, element_type, None) for element in value])
        return tuple([_decode_row(element, element_type, layout) for element in value])


def _make_row_layout(row_type: Any) -> _RowLayout:
    field_types = tuple(row_type.__annotations__.values())
    return _RowLayout(
        tuple(int if issubclass(kind, IntEnum) else kind for kind in field_types),
        tuple(
            (index, _check_integer if kind is int else kind)
            for index, kind in enumerate(field_types)
            if issubclass(kind, int) and kind is not bool
        ),
    )


def _decode_row(element: Any, row_type: Any, layout: _RowLayout) -> Any:
    if not isinstance(element, list) or tuple(map(type, element)) != layout.encoded_types:
        raise DecodeError(f'batch element does not match the fields of {row_type.__name__}')
    try:
        for index, decode in layout.integer_decoders:
            element[index] = decode(element[index])
    except ValueError as error:
        raise DecodeError(f'{row_type.__name__}: {error}') from error
    return row_type._make(element)


def _check_integer(value: int) -> int:
    """Returns an integer of up to 64 bits; a larger one cannot be computed with as a float."""
    if not -_INTEGER_LIMIT <= value < _INTEGER_LIMIT:
        raise DecodeError('integer of more than 64 bits')
    return value
