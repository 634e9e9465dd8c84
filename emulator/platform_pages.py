"""Settings files, server entries and configurations as the users' platform writes them."""

from typing import Any

from berylstair.ids import Endpoint

__all__ = [
    'SERVICE_IP',
    'STOP_GRACE_S',
    'make_configuration',
    'make_route',
    'make_server_entry',
    'make_settings',
]

SERVICE_IP = '198.18.0.1'
STOP_GRACE_S = 6


def make_settings(name: str, zone: str, ip: str, ports: dict[str, int]) -> dict[str, Any]:
    """Returns an instance's settings file, without its seeds and the store's address.

    Args:
        name: Id of the instance.
        zone: Availability zone of the instance.
        ip: IP address of the instance.
        ports: Ports by name: packets, ready, control and peers.
    """
    return {
        'node_id': name,
        'role': 'entry',
        'class': 'front',
        'ip': ip,
        'zone': zone,
        'zones': {zone: 'midlands-west'},
        'listen': {
            'datagram_addr': f'{ip}:{ports["packets"]}',
            'ready': f'{ip}:{ports["ready"]}',
            'control': f'{ip}:{ports["control"]}',
        },
        'internal_ports': [ports['peers'], ports['peers'] + 5],
        'limits': {'cpu_share': 0.5, 'cores': 2, 'memory_mb': 300, 'link_mbps': 1000.0},
        'heartbeat_ms': 1200,
        'bounds': {
            'drain_ms': 3000,
            'config_apply_ms': 3000,
            'grace_s': STOP_GRACE_S,
            'max_flow_s': 60,
        },
    }


def make_server_entry(service: str, address: Endpoint, state: str) -> dict[str, Any]:
    """Returns the store entry of a backend server."""
    return {
        'service': service,
        'address': str(address),
        'zone': 'tame-side',
        'version': 'v1',
        'slots': 3,
        'state': state,
        'cold_left_ms': 0,
        'seq': 1,
        'born': 1,
    }


def make_route(name: str, service: str, port: int) -> dict[str, Any]:
    """Returns one route of a configuration."""
    return {
        'name': name,
        'host': SERVICE_IP,
        'prefix': f'/{port}/',
        'type': 'safe',
        'timeout_ms': 4000,
        'slo_ms': 250,
        'priority': 2,
        'service': service,
        'max_attempts': 2,
    }


def make_configuration(version: int, routes: list[dict[str, Any]]) -> dict[str, Any]:
    """Returns a configuration with its routes and the services that they name."""
    services = sorted({route['service'] for route in routes})
    return {
        'version': version,
        'routes': routes,
        'services': [
            {'name': service, 'health_path': '/health', 'max_conns': 2000} for service in services
        ],
        'limits': {'idle_timeout_ms': 15000},
    }
