"""The instances of a soak run, as processes behind relays."""

import asyncio
import json
import os
import signal
import subprocess
import sys
from dataclasses import dataclass
from http import HTTPStatus
from pathlib import Path

from berylstair.ids import Endpoint
from emulator.platform_pages import STOP_GRACE_S, make_settings
from emulator.usage import handles_signal
from soak.clock import RunClock
from soak.links import Links, PeerRelay, StreamRelay
from soak.observations import Promise, RunObservations

__all__ = [
    'EVACUATION_LIMIT_MS',
    'SETTLING_S',
    'STORE',
    'InstanceProcess',
    'ProcessFleet',
    'RunLayout',
]

STORE = 'store'
EVACUATION_LIMIT_MS = 5000
# Time limits are checked only for instances without a disruption for this long.
SETTLING_S = 4.0
# Extra time to exit beyond the limit of a planned stop, on a busy machine.
STOP_SLACK_S = 1.0
READINESS_CHECK_INTERVAL_S = 0.5
UNREADY_AFTER_MISSES = 2
_ACTUAL_OCTET, _PUBLISHED_OCTET, _STORE_RELAY_OCTET = 1, 2, 6


@dataclass(frozen=True, slots=True)
class RunLayout:
    """Sizes, addresses and ports of a run.

    Attributes:
        second_octet: Second octet of all loopback addresses of the run.
        ports: Ports for packets, readiness, control, peers, backend servers and store.
    """

    second_octet: int
    instance_count: int
    zones: tuple[str, ...]
    ports: tuple[int, ...]
    folder: Path

    def ip(self, third_octet: int, number: int) -> str:
        """Returns a loopback address; ``number`` counts from 0."""
        return f'127.{self.second_octet}.{third_octet}.{number + 1}'


@dataclass(slots=True)
class InstanceProcess:
    """One instance, its process and the disruptions applied to it.

    Attributes:
        disrupted_until: Time at which its latest disruption ends, on the run's clock.
        should_run: Whether the process is expected to run now.
        missed_checks: Readiness checks failed in a row.
        was_starting: Whether the last signal arrived before the program had
            installed its handlers; the signal then ends the interpreter.
    """

    number: int
    name: str
    zone: str
    ip: str
    process: subprocess.Popen[bytes] | None = None
    disrupted_until: float = 0.0
    should_run: bool = False
    is_paused: bool = False
    missed_checks: int = UNREADY_AFTER_MISSES
    was_starting: bool = False


class ProcessFleet:
    """Starts, signals and monitors the instances."""

    def __init__(
        self, layout: RunLayout, links: Links, clock: RunClock, observations: RunObservations
    ) -> None:
        """Assigns names, zones and addresses; ``start`` starts the processes."""
        self.layout = layout
        self.links = links
        self.clock = clock
        self.observations = observations
        self.instances = [
            InstanceProcess(
                number,
                f'front-{number + 1}',
                layout.zones[number % len(layout.zones)],
                layout.ip(_ACTUAL_OCTET, number),
            )
            for number in range(layout.instance_count)
        ]
        self.instance_by_ip = {instance.ip: instance for instance in self.instances}
        self._relay_by_ip: dict[str, PeerRelay] = {}
        self._stream_relays: list[StreamRelay] = []

    async def start(self, store: Endpoint) -> None:
        """Starts the relays and all instances."""
        for instance in self.instances:
            number = instance.number
            peer_port = self.layout.ports[3]
            published = Endpoint(self.layout.ip(_PUBLISHED_OCTET, number), peer_port)
            actual = Endpoint(instance.ip, peer_port)
            PeerRelay(instance.name, published, actual, self.links, self._relay_by_ip)
            peer_stream_relay = StreamRelay(self.links.get_link('peers', instance.name), actual)
            store_stream_relay = StreamRelay(self.links.get_link(instance.name, STORE), store)
            await peer_stream_relay.start(published)
            await store_stream_relay.start(
                Endpoint(self.layout.ip(_STORE_RELAY_OCTET, number), self.layout.ports[5])
            )
            self._stream_relays.extend((peer_stream_relay, store_stream_relay))
            self.launch(instance)

    def close(self) -> None:
        """Kills every process that this run started and closes the relays."""
        for instance in self.instances:
            instance.should_run = False
            if instance.process is not None:
                instance.process.kill()
                instance.process.wait()
        for relay in self._relay_by_ip.values():
            relay.close()
        for stream_relay in self._stream_relays:
            stream_relay.close()

    def mark_disrupted(self, instance: InstanceProcess, for_s: float) -> None:
        """Records that an instance is disrupted for the next ``for_s`` seconds."""
        until = self.clock.now() + for_s
        instance.disrupted_until = max(instance.disrupted_until, until)

    def is_settled(self, instance: InstanceProcess, now: float) -> bool:
        """Returns whether an instance had no disruption for at least ``SETTLING_S``."""
        return now - instance.disrupted_until >= SETTLING_S

    def launch(self, instance: InstanceProcess, clock_offset_s: float = 0.0) -> None:
        """Starts an instance's process unless it runs.

        Args:
            instance: Instance to start.
            clock_offset_s: Seconds by which its time of day is ahead of the system's.
        """
        if instance.process is not None and instance.process.poll() is None:
            return
        path = self.layout.folder / f'{instance.name}.json'
        path.write_text(json.dumps(self._build_settings(instance)), encoding='utf-8')
        module = 'soak.skewed' if clock_offset_s else 'berylstair.platform'
        with path.with_suffix('.log').open('ab') as log:
            instance.process = subprocess.Popen(
                (sys.executable, '-m', module),
                env=dict(
                    os.environ, BERYLSTAIR_NODE_FILE=str(path), SOAK_CLOCK_AHEAD=str(clock_offset_s)
                ),
                stdout=log,
                stderr=log,
            )
        instance.should_run = True
        instance.is_paused = False
        self.mark_disrupted(instance, 0)

    def send_signal(self, instance: InstanceProcess, signal_number: signal.Signals) -> None:
        """Sends a signal to an instance's process if it is running."""
        process = instance.process
        if process is not None and process.poll() is None:
            instance.was_starting = not handles_signal(process.pid, signal.SIGTERM)
            process.send_signal(signal_number)

    async def kill_and_restart(
        self, instance: InstanceProcess, down_s: float, clock_offset_s: float = 0.0
    ) -> None:
        """Kills an instance and starts it again after ``down_s`` seconds."""
        self.mark_disrupted(instance, down_s)
        instance.should_run = False
        self.send_signal(instance, signal.SIGKILL)
        await asyncio.sleep(down_s)
        await self._wait_for_exit(instance, STOP_GRACE_S)
        self.launch(instance, clock_offset_s)

    async def pause(self, instance: InstanceProcess, for_s: float) -> None:
        """Suspends an instance's process for a time."""
        self.mark_disrupted(instance, for_s)
        instance.is_paused = True
        self.send_signal(instance, signal.SIGSTOP)
        await asyncio.sleep(for_s)
        self.send_signal(instance, signal.SIGCONT)
        instance.is_paused = False

    async def stop_and_restart(
        self, instance: InstanceProcess, signal_count: int = 1, absent_s: float = 0.0
    ) -> None:
        """Requests a planned stop, checks the exit status and starts the instance again.

        Args:
            instance: The instance.
            signal_count: Number of signals that request the stop.
            absent_s: Seconds between the end of the process and the start of another,
                which then joins the others.
        """
        self.mark_disrupted(instance, STOP_GRACE_S)
        process = instance.process
        instance.should_run = False
        for _ in range(signal_count):
            self.send_signal(instance, signal.SIGTERM)
        was_running = not instance.is_paused
        interpreter_statuses = {-signal.SIGTERM} if instance.was_starting else set()
        allowed_statuses = {0, -signal.SIGKILL} | interpreter_statuses
        started_at = self.clock.now()
        await self._wait_for_exit(instance, STOP_GRACE_S + STOP_SLACK_S)
        status = None if process is None else process.poll()
        duration_s = self.clock.now() - started_at
        if was_running and not instance.is_paused and status not in allowed_statuses:
            self.observations.add_finding(
                Promise.PLANNED_STOP,
                self.clock.now(),
                f'{instance.name} status={status} after {duration_s:.1f} s',
            )
        if instance.process is process:
            # Another disruption may have started the next process already.
            self.send_signal(instance, signal.SIGKILL)
            await self._wait_for_exit(instance, STOP_GRACE_S)
        await asyncio.sleep(absent_s)
        self.launch(instance)

    async def run_health_checks(self) -> None:
        """Checks readiness as the fabric does and reports processes that ended by themselves."""
        while True:
            await asyncio.gather(*(self._check_health(instance) for instance in self.instances))
            await asyncio.sleep(READINESS_CHECK_INTERVAL_S)

    def instances_in_rotation(self, zone: str) -> list[InstanceProcess]:
        """Returns the instances that the fabric uses for a zone's callers.

        These are the zone's ready instances, or all of the zone's if less than
        half of them are ready. If none is, the same rule applies to all zones.
        """
        for candidates in (
            [instance for instance in self.instances if instance.zone == zone],
            self.instances,
        ):
            ready = [
                instance for instance in candidates if instance.missed_checks < UNREADY_AFTER_MISSES
            ]
            if len(ready) * 2 >= len(candidates):
                return ready
            if ready:
                return candidates
        return self.instances

    async def _check_health(self, instance: InstanceProcess) -> None:
        process = instance.process
        if instance.should_run and process is not None and process.poll() is not None:
            status = process.poll()
            if not (instance.was_starting and status == -signal.SIGHUP):
                detail = f'{instance.name} status={status}'
                self.observations.add_finding(Promise.ALIVE, self.clock.now(), detail)
            self.launch(instance)
        is_ready = await _check_ready(Endpoint(instance.ip, self.layout.ports[1]))
        instance.missed_checks = 0 if is_ready else instance.missed_checks + 1

    async def _wait_for_exit(self, instance: InstanceProcess, limit_s: float) -> None:
        process = instance.process
        until = self.clock.now() + limit_s
        while process is not None and process.poll() is None and self.clock.now() < until:
            await asyncio.sleep(0.05)

    def _build_settings(self, instance: InstanceProcess) -> dict[str, object]:
        packets, ready, control, peers, _, store = self.layout.ports
        ports = {'packets': packets, 'ready': ready, 'control': control, 'peers': peers}
        seeds = [f'{self.layout.ip(_PUBLISHED_OCTET, number)}:{control}' for number in range(3)]
        settings = make_settings(instance.name, instance.zone, instance.ip, ports)
        return settings | {
            'bounds': settings['bounds'] | {'evac_ms': EVACUATION_LIMIT_MS},
            'zones': dict.fromkeys(self.layout.zones, 'midlands-west'),
            'seeds': seeds,
            'platform': {
                'address': f'{self.layout.ip(_STORE_RELAY_OCTET, instance.number)}:{store}'
            },
        }


async def _check_ready(endpoint: Endpoint) -> bool:
    """Requests the readiness page of an instance."""
    try:
        async with asyncio.timeout(READINESS_CHECK_INTERVAL_S):
            reader, writer = await asyncio.open_connection(*endpoint)
            writer.write(b'GET /berylstair/ready HTTP/1.1\r\nHost: fabric\r\n\r\n')
            status_line = (await reader.readline()).split()
            writer.close()
    except (OSError, TimeoutError):
        return False
    return len(status_line) > 1 and int(status_line[1]) == HTTPStatus.OK
