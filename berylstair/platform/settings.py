"""Decodes the settings file that the platform writes."""

import json
from collections.abc import Mapping
from pathlib import Path
from typing import Any

from berylstair.errors import ConfigurationError, Problem
from berylstair.ids import Endpoint, InstanceId, ZoneId, parse_endpoint
from berylstair.steering_settings import Capacity, ColdLimit, SteeringSettings, TimeLimits

__all__ = ['SETTINGS_VARIABLE', 'load_platform_settings']

SETTINGS_VARIABLE = 'BERYLSTAIR_NODE_FILE'
# The port that deploy/system.toml names, in the range customary for metrics exporters.
METRICS_PORT = 9464
_MS_PER_S = 1000
# Status reports that a server may miss before its entry expires.
_HEARTBEATS_TO_EXPIRE = 3
# More than any server handles, and few enough to be multiplied.
_MAX_COLD_BOUND = 1_000_000


def load_platform_settings(path: Path) -> SteeringSettings:
    """Loads and validates the settings file.

    Args:
        path: A JSON file, which the platform fills in from the template in
            ``deploy/``; unknown fields are ignored.

    Returns:
        The settings, independent of the platform's format.

    Raises:
        ConfigurationError: The file cannot be read, or a field is missing or
            invalid.
    """
    try:
        loaded = json.loads(path.read_bytes())
    except (OSError, ValueError) as error:
        raise ConfigurationError([Problem(str(path), '', str(error))]) from error
    try:
        return _decode_settings(loaded)
    except (KeyError, TypeError, ValueError, IndexError, AttributeError) as error:
        raise ConfigurationError(
            [Problem(str(path), '', f'field missing or invalid: {error!r}')]
        ) from error


def _decode_settings(loaded: Mapping[str, Any]) -> SteeringSettings:
    listen = loaded['listen']
    limits = loaded['limits']
    first_port, _ = loaded['internal_ports']
    packet_endpoint = parse_endpoint(listen['datagram_addr'])
    return SteeringSettings(
        instance=InstanceId(loaded['node_id']),
        zone=ZoneId(loaded['zone']),
        zones=tuple(ZoneId(zone) for zone in loaded['zones']),
        packet_endpoint=packet_endpoint,
        # Callers receive responses at the same port at which instances receive packets.
        caller_port=packet_endpoint.port,
        readiness_endpoint=parse_endpoint(listen['ready']),
        peer_endpoint=parse_endpoint(f'{loaded["ip"]}:{first_port}'),
        metrics_endpoint=parse_endpoint(f'{loaded["ip"]}:{METRICS_PORT}'),
        seeds=tuple(
            # All instances use the same peer port; a seed only contributes its address.
            Endpoint(parse_endpoint(seed).ip, first_port)
            for seed in loaded.get('seeds') or ()
        ),
        source_endpoint=parse_endpoint(loaded['platform']['address']),
        capacity=Capacity(
            # The platform gives the share of a core separately from the speed of the core.
            cores=float(limits['cpu_share']) * float(limits['cores']),
            link_mbps=float(limits['link_mbps']),
        ),
        time_limits=_decode_time_limits(loaded['bounds'], loaded['heartbeat_ms'] / _MS_PER_S),
        cold_limit=_decode_cold_limit(loaded['bounds']),
    )


def _decode_time_limits(bounds: Mapping[str, Any], heartbeat_interval_s: float) -> TimeLimits:
    evacuation_ms = bounds.get('evac_ms')
    return TimeLimits(
        drain_s=bounds['drain_ms'] / _MS_PER_S,
        config_apply_s=bounds['config_apply_ms'] / _MS_PER_S,
        stop_grace_s=float(bounds['grace_s']),
        max_flow_s=float(bounds['max_flow_s']),
        entry_expiry_s=heartbeat_interval_s * _HEARTBEATS_TO_EXPIRE,
        evacuation_s=None if evacuation_ms is None else evacuation_ms / _MS_PER_S,
    )


def _decode_cold_limit(bounds: Mapping[str, Any]) -> ColdLimit | None:
    """Returns the bound for cold servers, None where the platform states none."""
    if bounds.get('cold_over') is None and bounds.get('cold_slack') is None:
        return None
    limit = ColdLimit(float(bounds['cold_over']), float(bounds['cold_slack']))
    if not (0 <= limit.ratio <= _MAX_COLD_BOUND and 0 <= limit.slack <= _MAX_COLD_BOUND):
        raise ValueError(f'cold_over or cold_slack not from 0 to {_MAX_COLD_BOUND}: {limit}')
    return limit
