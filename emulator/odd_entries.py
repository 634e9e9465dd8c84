"""Entries that another writer may leave among those of the backend servers."""

import json
from typing import Any

from berylstair.ids import Endpoint
from emulator.platform_pages import make_server_entry

__all__ = ['ODD_ENTRIES', 'ODD_KEYS', 'ODD_VALUES']

_ENTRY = make_server_entry('mapserve', Endpoint('10.1.0.9', 9000), 'ready')
_DEPTH = 100_000
_DIGITS = 400
_LARGE_BYTES = 700_000
# Values that no field of an entry may have.
ODD_VALUES: tuple[Any, ...] = (
    None,
    True,
    -1,
    1.5,
    float('inf'),
    float('nan'),
    1 << 63,
    (1 << 64) - 1,
    10**_DIGITS,
    '',
    '\ud800',
    'a\nb',
    'x' * 100_000,
    [],
    {},
    ['ready'],
    {'service': 'mapserve'},
)
_ODD_ADDRESSES = (
    'host:80',
    '10.1.0.9',
    '10.1.0.9:0',
    '10.1.0.9:65536',
    '10.1.0.9:-1',
    f'10.1.0.9:{"9" * 5000}',
    '10.1.0.9:\u00b2',
    '10.1.0.999:80',
    '0.0.0.0:80',
    '224.0.0.1:80',
    '255.255.255.255:80',
    '[::1]:80',
    ':80',
)


def _dump(**changed: Any) -> bytes:
    return json.dumps(_ENTRY | changed).encode()


def _without(name: str) -> bytes:
    return json.dumps({key: _ENTRY[key] for key in _ENTRY if key != name}).encode()


ODD_ENTRIES: dict[str, bytes] = {
    'empty': b'',
    'not UTF-8': b'\xff\x00\xfe',
    'deep brackets, not closed': b'[' * _DEPTH,
    'deep brackets': b'[' * _DEPTH + b']' * _DEPTH,
    'deep objects': b'{"a":' * _DEPTH + b'1' + b'}' * _DEPTH,
    'deep value of a field': _dump(version='@').replace(b'"@"', b'[' * _DEPTH + b']' * _DEPTH),
    'number without end': b'9' * 10_000,
    'a list': b'[]',
    'a number': b'7',
    'a text': b'"ready"',
    'null': b'null',
    'large': b'"' + b'x' * _LARGE_BYTES + b'"',
    'large readable field': _dump(version=list('x' * (_LARGE_BYTES // 5))),
    'state that is not known': _dump(state='resting'),
    'slots that no float holds': _dump(slots=10**_DIGITS),
    'no slots': _dump(slots=0),
    'warm-up that no float holds': _dump(cold_left_ms=10**_DIGITS),
    'sequence of 64 bits': _dump(seq=(1 << 64) - 1),
    'start of 64 bits': _dump(born=(1 << 64) - 1),
    **{f'address {number}': _dump(address=text) for number, text in enumerate(_ODD_ADDRESSES)},
    **{f'without {name}': _without(name) for name in _ENTRY},
}
ODD_KEYS = (
    'servers/',
    'servers/spool',
    'servers/i-\ud800',
    'servers/i-7f\n3a',
    'servers/-',
    'servers//',
    'servers/i-0000',
    'servers',
    'my/\ud800',
    '\x00',
    '',
)
