"""CBOR encoding of typed messages between instances.

A message travels as one CBOR array: its type number, then its fields in
order. Rows inside a message are arrays too, so that batches stay small.
"""

from collections.abc import Mapping
from dataclasses import fields
from typing import Any

import cbor2

from berylstair.errors import DecodeError

__all__ = ['MessageCodec']

_MAX_BATCH_ROWS = 65536


class MessageCodec:
    """Encodes and decodes a closed set of message types."""

    def __init__(
        self,
        message_types: tuple[type[Any], ...],
        element_type_by_field: Mapping[tuple[type[Any], str], type[Any]],
    ) -> None:
        """Derives the layouts.

        Args:
            types: Message dataclasses; the position is the type number.
            row_by_field: Element type of each field that holds a batch.
        """
        self._message_types = message_types
        self._number_by_type = {kind: number for number, kind in enumerate(message_types)}
        self._layout_by_type = {
            kind: tuple(
                (field.type, element_type_by_field.get((kind, field.name)))
                for field in fields(kind)
            )
            for kind in message_types
        }
        self._layout_by_row_type = {
            row: tuple(row.__annotations__.values())
            for row in element_type_by_field.values()
            if hasattr(row, '_make')
        }

    def encode(self, message: Any) -> bytes:
        """Encodes a message.

        Args:
            message: Any of the message types.

        Returns:
            One CBOR array.
        """
        values = [getattr(message, name) for name in message.__slots__]
        return cbor2.dumps([self._number_by_type[type(message)], *values])

    def decode(self, data: bytes) -> Any:
        """Decodes and checks a message.

        Args:
            data: One CBOR array.

        Returns:
            The typed message.

        Raises:
            DecodeError: Not CBOR, an unknown type number, or a field of another
                type than the message's.
        """
        try:
            loaded = cbor2.loads(data)
        except (cbor2.CBORDecodeError, ValueError, RecursionError, TypeError) as error:
            raise DecodeError(f'not CBOR: {error!r}') from error
        if not isinstance(loaded, list) or not loaded:
            raise DecodeError('not a message array')
        number, *values = loaded
        if type(number) is not int or not 0 <= number < len(self._message_types):
            raise DecodeError(f'unknown message type {number!r}')
        message_type = self._message_types[number]
        layout = self._layout_by_type[message_type]
        if len(values) != len(layout):
            raise DecodeError(f'{message_type.__name__} has {len(values)} fields')
        pairs = zip(values, layout, strict=True)
        return message_type(*[self._decode_field(value, *expected) for value, expected in pairs])

    def _decode_field(self, value: Any, expected: Any, element_type: Any) -> Any:
        if element_type is None:
            if type(value) is not expected:
                raise DecodeError(f'found {type(value).__name__}, expected {expected.__name__}')
            return value
        if not isinstance(value, list) or len(value) > _MAX_BATCH_ROWS:
            raise DecodeError('not a batch')
        layout = self._layout_by_row_type.get(element_type)
        if layout is None:
            return tuple([self._decode_field(element, element_type, None) for element in value])
        return tuple([_decode_row(element, element_type, layout) for element in value])


def _decode_row(element: Any, row_type: Any, layout: tuple[type[Any], ...]) -> Any:
    if not isinstance(element, list) or tuple(map(type, element)) != layout:
        raise DecodeError(f'not a {row_type.__name__}')
    return row_type._make(element)
