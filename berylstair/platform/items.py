"""Decodes the items of the platform's store."""

import json
import math
from ipaddress import IPv4Address
from typing import Any

from berylstair.directory import (
    Configuration,
    ConfigurationPublished,
    DecodedChange,
    Route,
    ServerListed,
    ServerRegistration,
    ServerRemoved,
    SourceChange,
    ZoneEvacuated,
    ZoneTakenBack,
)
from berylstair.errors import DecodeError
from berylstair.ids import BackendId, Endpoint, ServiceName, ZoneId, parse_endpoint
from berylstair.platform.packet import backend_number
from berylstair.platform.services import decode_services
from berylstair.record import BackendServer, BackendState

__all__ = ['CONFIGURATION_KEY', 'EVACUATION_PREFIX', 'decode_change']

SERVER_PREFIX = 'servers/'
CONFIGURATION_KEY = 'op/config'
# The zone follows; while the item exists, whatever its value, the zone is evacuated.
EVACUATION_PREFIX = 'op/evacuate/'
# The fault of an entry quotes it, and entries may be long.
_MAX_FAULT_CHARS = 120
_MS_PER_S = 1000
_DEFAULT_MAX_CONNECTIONS = 2000
# Messages between instances carry integers of 64 bits with a sign.
_MAX_NUMBER = (1 << 63) - 1
# More than any machine runs concurrently, and few enough to be added up.
_MAX_SLOTS = 1 << 16
_MAX_WARMUP_MS = 24 * 3600 * _MS_PER_S
# As long as the longest key of the store.
_MAX_NAME_CHARS = 200
_STATE_BY_NAME = {'ready': BackendState.ACTIVE, 'draining': BackendState.LEAVING}
_IDEMPOTENT_TYPES = frozenset(('safe', 'download'))


def decode_change(source_change: SourceChange) -> DecodedChange | None:
    """Decodes one item or its removal.

    Args:
        source_change: The item as the store holds it.

    Returns:
        The change; None for a key that is not used here. A server entry that
        cannot be decoded describes no usable server, so it is a removal.

    Raises:
        DecodeError: The configuration cannot be decoded.
    """
    if not source_change.key.isprintable():
        # It cannot stand in messages and log lines, and no server has such an id.
        return None
    if source_change.key.startswith(SERVER_PREFIX):
        return _decode_server(
            BackendId(source_change.key[len(SERVER_PREFIX) :]), source_change.value
        )
    if source_change.key.startswith(EVACUATION_PREFIX):
        return _decode_evacuation(
            source_change.key[len(EVACUATION_PREFIX) :], source_change.value is not None
        )
    if source_change.key == CONFIGURATION_KEY and source_change.value is not None:
        try:
            return ConfigurationPublished(_decode_configuration(json.loads(source_change.value)))
        except Exception as error:
            raise DecodeError(
                f'configuration at {source_change.position} cannot be decoded: '
                f'{_describe_fault(error)}'
            ) from error
    return None


def _decode_server(backend: BackendId, value: bytes | None) -> DecodedChange:
    if value is None:
        return ServerRemoved(backend)
    try:
        return ServerListed(_decode_registration(backend, json.loads(value)))
    except Exception as error:  # noqa: BLE001 any bytes may stand there
        return ServerRemoved(backend, _describe_fault(error))


def _decode_evacuation(zone: str, is_evacuated: bool) -> DecodedChange | None:
    """Decodes an evacuation; one of a zone that no server's entry can name is not used."""
    try:
        zone_id = ZoneId(_require_name(zone))
    except ValueError:
        return None
    return ZoneEvacuated(zone_id) if is_evacuated else ZoneTakenBack(zone_id)


def _describe_fault(error: Exception) -> str:
    return ascii(error)[:_MAX_FAULT_CHARS]


def _decode_registration(backend: BackendId, entry: dict[str, Any]) -> ServerRegistration:
    """Decodes an entry.

    Every field must be there, also those that are not used: an entry that lacks
    one is not of a server, and its address may be that of another service.
    """
    if not backend_number(backend):
        raise ValueError('the id has no number, so any server would accept its packets')
    _require_name(entry['version'])
    slots = _require_int(entry['slots'], 1, _MAX_SLOTS)
    server = BackendServer(
        id=backend,
        zone=ZoneId(_require_name(entry['zone'])),
        address=_require_address(entry['address']),
        slots=slots,
        connections=_DEFAULT_MAX_CONNECTIONS,
        weight=float(slots),
        state=_STATE_BY_NAME[_require_name(entry['state'])],
    )
    return ServerRegistration(
        server,
        ServiceName(_require_name(entry['service'])),
        _require_int(entry['born'], 1),
        _require_int(entry['seq'], 0),
        _require_int(entry['cold_left_ms'], 0, _MAX_WARMUP_MS) / _MS_PER_S,
    )


def _decode_configuration(published: dict[str, Any]) -> Configuration:
    routes = [_decode_route(route) for route in published['routes']]
    services = decode_services(published.get('services'))
    return Configuration(
        _require_int(published['version']),
        {route.address: route for route in routes},
        _require_amount(published.get('limits', {}).get('idle_timeout_ms', 15000)) / _MS_PER_S,
        {service.name: service.cold_start for service in services if service.cold_start},
        _decode_health_paths(published.get('services')),
    )


def _decode_health_paths(services: Any) -> dict[ServiceName, str]:
    """Decodes where servers answer liveness checks; an invalid entry states no path."""
    path_by_service: dict[ServiceName, str] = {}
    for entry in services if isinstance(services, list) else ():
        try:
            name = ServiceName(_require_name(entry['name']))
            path = _require_name(entry['health_path'])
        except (KeyError, TypeError, ValueError):
            continue
        if path.startswith('/') and path.isascii() and ' ' not in path:
            path_by_service[name] = path
    return path_by_service


def _decode_route(route: dict[str, Any]) -> Route:
    # 'prefix' holds the port between slashes.
    address = parse_endpoint(f'{route["host"]}:{route["prefix"].strip("/")}')
    shares = route.get('split') or [{'service': route.get('service'), 'weight': 1}]
    return Route(
        name=_require_name(route['name']),
        address=address,
        weight_by_service={
            ServiceName(_require_name(share['service'])): _require_amount(share['weight'])
            for share in shares
        },
        is_idempotent=route['type'] in _IDEMPOTENT_TYPES,
        timeout_s=_require_amount(route['timeout_ms']) / _MS_PER_S,
        latency_target_s=_require_amount(route['slo_ms']) / _MS_PER_S,
        priority=_require_int(route['priority']),
    )


def _require_int(value: Any, least: int = 0, most: int = _MAX_NUMBER) -> int:
    if not isinstance(value, int) or isinstance(value, bool):
        raise TypeError(f'{type(value).__name__} in place of an integer')
    if not least <= value <= most:
        raise ValueError(f'integer not from {least} to {most}')
    return value


def _require_amount(value: Any) -> float:
    amount = float(value)
    if not 0 <= amount < math.inf:
        raise ValueError(f'{amount} is negative or not a finite number')
    return amount


def _require_name(value: Any) -> str:
    """Returns a text that can stand in messages and log lines."""
    if not isinstance(value, str):
        raise TypeError(f'{type(value).__name__} in place of a string')
    if not 0 < len(value) <= _MAX_NAME_CHARS or not value.isprintable():
        raise ValueError(f'string of {len(value)} characters is empty, too long or not printable')
    return value


def _require_address(value: Any) -> Endpoint:
    """Returns the address of a single host that packets can be sent to."""
    endpoint = parse_endpoint(_require_name(value))
    address = IPv4Address(endpoint.ip)
    if address.is_unspecified or address.is_multicast or address.is_reserved:
        raise ValueError(f'{endpoint.ip} is not the address of a host')
    return endpoint
