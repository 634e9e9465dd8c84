"""Decodes the settings file that the platform writes."""

from collections.abc import Mapping
from pathlib import Path
from typing import Any

import yaml

from berylstair.errors import ConfigurationError, Problem
from berylstair.ids import Endpoint, InstanceId, ZoneId, parse_endpoint
from berylstair.steering_settings import Capacity, SteeringSettings, TimeLimits

__all__ = ['SETTINGS_VARIABLE', 'load_platform_settings']

SETTINGS_VARIABLE = 'BERYLSTAIR_NODE_FILE'
# As deploy/system.toml names it; among the ports customary for exporters.
METRICS_PORT = 9464
_MS_PER_S = 1000
# Status reports that a server may miss before its entry lapses.
_HEARTBEATS_TO_EXPIRE = 3


def load_platform_settings(path: Path) -> SteeringSettings:
    """Reads and checks the file.

    Args:
        path: A YAML file; fields that are not known are ignored.

    Returns:
        The settings in the project's own terms.

    Raises:
        ConfigurationError: The file cannot be read, or a field is missing or
            of another type.
    """
    try:
        loaded = yaml.load(path.read_bytes(), Loader=getattr(yaml, 'CSafeLoader', yaml.SafeLoader))
    except (OSError, yaml.YAMLError) as error:
        raise ConfigurationError([Problem(str(path), '', str(error))]) from error
    try:
        return _decode_settings(loaded)
    except (KeyError, TypeError, ValueError, IndexError, AttributeError) as error:
        raise ConfigurationError(
            [Problem(str(path), '', f'missing or wrong: {error!r}')]
        ) from error


def _decode_settings(loaded: Mapping[str, Any]) -> SteeringSettings:
    listen = loaded['listen']
    limits = loaded['limits']
    first_port, _ = loaded['internal_ports']
    packets = parse_endpoint(listen['datagram_addr'])
    return SteeringSettings(
        instance=InstanceId(loaded['node_id']),
        zone=ZoneId(loaded['zone']),
        zones=tuple(ZoneId(zone) for zone in loaded['zones']),
        packet_endpoint=packets,
        # Callers take answers at the port at which instances take packets.
        caller_port=packets.port,
        readiness_endpoint=parse_endpoint(listen['ready']),
        peer_endpoint=parse_endpoint(f'{loaded["ip"]}:{first_port}'),
        metrics_endpoint=parse_endpoint(f'{loaded["ip"]}:{METRICS_PORT}'),
        seeds=tuple(
            # Instances differ in their address only; the port is the peers'.
            Endpoint(parse_endpoint(seed).ip, first_port)
            for seed in loaded.get('seeds') or ()
        ),
        source_endpoint=parse_endpoint(loaded['platform']['address']),
        capacity=Capacity(
            # The share of a core is given apart from how fast the core is.
            cores=float(limits['cpu_share']) * float(limits['cores']),
            link_mbps=float(limits['link_mbps']),
        ),
        time_limits=_decode_time_limits(loaded['bounds'], loaded['heartbeat_ms'] / _MS_PER_S),
    )


def _decode_time_limits(bounds: Mapping[str, Any], heartbeat_interval_s: float) -> TimeLimits:
    return TimeLimits(
        drain_s=bounds['drain_ms'] / _MS_PER_S,
        config_apply_s=bounds['config_apply_ms'] / _MS_PER_S,
        stop_grace_s=float(bounds['grace_s']),
        max_flow_s=float(bounds['max_flow_s']),
        entry_expiry_s=heartbeat_interval_s * _HEARTBEATS_TO_EXPIRE,
    )
