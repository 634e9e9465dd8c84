"""Runs one emulator process: ``python -m emulator ROLE CONFIG_JSON``."""

import asyncio
import gc
import json
import sys
from typing import Any

from berylstair.ids import parse_endpoint
from emulator.backend import BackendConfig, EmulatedBackend
from emulator.configuration_service import ConfigurationService
from emulator.control import CommandHandlers, run_commands
from emulator.fabric import EmulatedFabric
from emulator.load import run_load
from emulator.proxy import FaultProxy

__all__ = ()


async def _run_backend(config: dict[str, Any]) -> None:
    config['listen'] = parse_endpoint(config['listen'])
    backend = EmulatedBackend(BackendConfig(**config))
    commands: CommandHandlers = {
        'report': lambda message: backend.report(),
        'reset': lambda message: backend.reset_counters(),
    }
    await run_commands(commands)


async def _run_fabric(config: dict[str, Any]) -> None:
    addresses = [parse_endpoint(text) for text in config['addresses']]
    fabric = EmulatedFabric(addresses, parse_endpoint(config['relay']), config['seed'])
    await run_commands({'targets': fabric.set_targets, 'faults': fabric.set_faults})


async def _run_platform(config: dict[str, Any]) -> None:
    platform = ConfigurationService(parse_endpoint(config['listen']))
    commands: CommandHandlers = {
        'publish': lambda message: platform.publish(message['text']),
        'down': lambda message: platform.set_unavailable(message['is_down']),
        'stale': lambda message: platform.set_stale_revision(message['revision']),
        'delay': lambda message: platform.set_delay(message['delay_s']),
        'reads': lambda message: platform.read_count,
    }
    await run_commands(commands)


async def _run_proxy(config: dict[str, Any]) -> None:
    proxy = FaultProxy(config['seed'])
    for route in config['routes']:
        await proxy.add_relay(*route)
    await run_commands({'faults': proxy.set_faults})


async def _run_load(config: dict[str, Any]) -> None:
    await run_commands({'run': run_load})


_RUNNER_BY_ROLE = {
    'backend': _run_backend,
    'fabric': _run_fabric,
    'load': _run_load,
    'platform': _run_platform,
    'proxy': _run_proxy,
}

gc.freeze()
asyncio.run(_RUNNER_BY_ROLE[sys.argv[1]](json.loads(sys.argv[2])))
