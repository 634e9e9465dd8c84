"""Decodes the entries of ``services`` in the platform's configuration."""

from typing import Any, NamedTuple

from berylstair.directory import ColdStart
from berylstair.ids import ServiceName

__all__ = ['ServiceEntry', 'decode_services']

# Longer than any server stays cold.
_MAX_COLD_S = 24 * 3600
# More requests per second than any server handles, and few enough to be multiplied.
_MAX_RATE_PER_S = 1_000_000
# As long as the longest key of the store.
_MAX_NAME_CHARS = 200


class ServiceEntry(NamedTuple):
    """What the configuration states about one service.

    Attributes:
        cold_start: Properties of its servers after a start; None if they are not
            stated, or not validly.
    """

    name: ServiceName
    cold_start: ColdStart | None = None


def decode_services(entries: Any) -> tuple[ServiceEntry, ...]:
    """Decodes the entries of all services.

    Args:
        entries: Content of the field, which may be missing or of any type.

    Returns:
        One entry for each service that has a name. Invalid values of a service only
        remove what they state, so that the configuration stays valid.
    """
    if not isinstance(entries, list):
        return ()
    decoded = (_decode_service(entry) for entry in entries)
    return tuple(service for service in decoded if service is not None)


def _decode_service(entry: Any) -> ServiceEntry | None:
    """Decodes the entry of one service.

    Returns:
        The entry; None if it has no name that can stand in messages and log lines.
    """
    if not isinstance(entry, dict):
        return None
    name = entry.get('name')
    if not isinstance(name, str) or not 0 < len(name) <= _MAX_NAME_CHARS or not name.isprintable():
        return None
    return ServiceEntry(ServiceName(name), _decode_cold_start(entry))


def _decode_cold_start(entry: dict[str, Any]) -> ColdStart | None:
    duration_s = _decode_number(entry.get('cold_start_s'), _MAX_COLD_S)
    requests_per_s = _decode_number(entry.get('cold_per_s'), _MAX_RATE_PER_S)
    if duration_s is None or requests_per_s is None:
        return None
    return ColdStart(duration_s, requests_per_s)


def _decode_number(value: Any, most: int) -> float | None:
    """Returns a number from 0 to ``most``, None if the value is not one."""
    if isinstance(value, bool) or not isinstance(value, int | float):
        return None
    return float(value) if 0 <= value <= most else None
