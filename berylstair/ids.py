"""Identifiers and endpoints shared by every module."""

from ipaddress import ip_address
from typing import NamedTuple, NewType

__all__ = [
    'AttemptId',
    'BackendId',
    'Endpoint',
    'FlowKey',
    'InstanceId',
    'RequestId',
    'ServiceName',
    'ZoneId',
    'is_ip_address',
    'parse_endpoint',
]

InstanceId = NewType('InstanceId', str)
ZoneId = NewType('ZoneId', str)
ServiceName = NewType('ServiceName', str)
BackendId = NewType('BackendId', str)
AttemptId = NewType('AttemptId', bytes)
FlowKey = NewType('FlowKey', bytes)
RequestId = NewType('RequestId', bytes)

_MAX_PORT = 65535


class Endpoint(NamedTuple):
    """An IP address in text form and a port, as the socket module expects it."""

    ip: str
    port: int

    def __str__(self) -> str:
        """Formats the endpoint as ``ip:port``, with brackets around an IPv6 address."""
        if ':' in self.ip:
            return f'[{self.ip}]:{self.port}'
        return f'{self.ip}:{self.port}'


def parse_endpoint(text: str) -> Endpoint:
    """Parses ``ip:port`` or ``[ip]:port``.

    Args:
        text: The endpoint as written in a record or in the settings file.

    Returns:
        The endpoint; the IP address is normalised.

    Raises:
        ValueError: The text is not an IP address and a port from 1 to 65535.
    """
    host, _, port = text.rpartition(':')
    if not port.isdigit() or not 0 < int(port) <= _MAX_PORT:
        raise ValueError(f'{text!r} does not end in a port from 1 to {_MAX_PORT}')
    return Endpoint(str(ip_address(host.strip('[]'))), int(port))


def is_ip_address(text: str) -> bool:
    """Returns whether a text is an IP address."""
    try:
        ip_address(text)
    except ValueError:
        return False
    return True
