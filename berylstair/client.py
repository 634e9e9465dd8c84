"""HTTP client of the instances' admin pages, for the command line."""

import json
import time
from dataclasses import dataclass
from typing import Any
from urllib.error import URLError
from urllib.parse import urlencode
from urllib.request import urlopen

from result import Err, Ok, Result

__all__ = ['AdminClient', 'Lagging', 'wait_for_rollout']

REQUEST_TIMEOUT_S = 3.0
POLL_INTERVAL_S = 0.2


class AdminClient:
    """Reads the admin pages of one instance."""

    def __init__(self, endpoint: str) -> None:
        """Sets the admin endpoint of the instance, ``IP:PORT``."""
        self._endpoint = endpoint

    def status(self) -> Result[dict[str, Any], str]:
        """Returns the instance's status, or the reason why it cannot be read."""
        return self._get_json('/status')

    def explain(self, address: str, caller: str) -> Result[dict[str, Any], str]:
        """Returns where a caller's packet would go, or why this cannot be read."""
        query = urlencode({'address': address, 'caller': caller})
        return self._get_json(f'/explain?{query}')

    def _get_json(self, target: str) -> Result[dict[str, Any], str]:
        try:
            with urlopen(f'http://{self._endpoint}{target}', timeout=REQUEST_TIMEOUT_S) as response:
                return Ok(json.loads(response.read()))
        except (URLError, OSError, ValueError) as error:
            return Err(f'{self._endpoint}: {error}')


@dataclass(frozen=True, slots=True)
class Lagging:
    """An instance on which a record version is not in force."""

    instance: str
    reason: str


def wait_for_rollout(
    client: AdminClient,
    key: str,
    version: int,
    wait_s: float,
) -> Result[int, list[Lagging]]:
    """Waits until a record version is in force on every listed instance.

    Args:
        client: Client of any instance; its status lists the admin endpoints of all.
        key: ``service/NAME`` or ``instances``.
        version: Lowest version that has to be in force.
        wait_s: Maximum wait in seconds; 0 checks once.

    Returns:
        The number of instances, or the lagging ones if the wait times out.
    """
    deadline = time.monotonic() + wait_s
    while True:
        instance_count, lagging = _find_lagging(client, key, version)
        if not lagging:
            return Ok(instance_count)
        if time.monotonic() >= deadline:
            return Err(lagging)
        time.sleep(POLL_INTERVAL_S)


def _find_lagging(client: AdminClient, key: str, version: int) -> tuple[int, list[Lagging]]:
    first_status = client.status()
    if isinstance(first_status, Err):
        return 0, [Lagging('?', first_status.err_value)]
    endpoint_by_instance = first_status.ok_value['admin_by_instance']
    lagging = []
    digest_by_instance: dict[str, str] = {}
    for name, endpoint in sorted(endpoint_by_instance.items()):
        status = AdminClient(endpoint).status()
        if isinstance(status, Err):
            lagging.append(Lagging(name, status.err_value))
            continue
        matching_records = [record for record in status.ok_value['records'] if record['key'] == key]
        version_in_force = matching_records[0]['version'] if matching_records else 0
        if version_in_force < version:
            lagging.append(Lagging(name, f'version {version_in_force} is in force'))
        elif version_in_force == version:
            digest_by_instance[name] = matching_records[0]['digest']
    if len(set(digest_by_instance.values())) > 1:
        fault = f'instances hold different contents of version {version}; publish a higher one'
        lagging.extend(Lagging(name, fault) for name in digest_by_instance)
    return len(endpoint_by_instance), lagging
