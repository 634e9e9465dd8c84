"""State shared by the parts of the steering core."""

from collections import defaultdict
from collections.abc import Sequence
from random import Random
from typing import Any

from berylstair.assigner import Assigner
from berylstair.catalogue import LogEvent
from berylstair.cold_mandate import ColdMandates
from berylstair.cold_servers import ColdServers
from berylstair.counter import Counters
from berylstair.directory import Directory
from berylstair.fleet import Fleet
from berylstair.flowtrack import TrackedFlowTable
from berylstair.ids import Endpoint, InstanceId
from berylstair.latency import Latencies
from berylstair.shared_action import LogEntry
from berylstair.steering_action import SendMessage, SteeringAction
from berylstair.steering_message import FleetHeartbeat
from berylstair.steering_settings import SteeringSettings
from berylstair.timer import Timers

__all__ = ['SteeringCore']

MS_PER_S = 1000


class SteeringCore:
    """Holds the directory, fleet, flows, counters, timers and pending actions."""

    def __init__(self, settings: SteeringSettings, incarnation: int, rng: Random) -> None:
        """Starts with an empty directory and no known peers.

        Args:
            settings: Settings of the process.
            incarnation: Start time of the process in ms since 1970.
            rng: Seeded random generator.
        """
        self.settings = settings
        self.rng = rng
        self.directory = Directory()
        self.fleet = Fleet(settings, incarnation, rng)
        self.counters = Counters()
        self.cold_mandates = ColdMandates(self.fleet)
        self.cold_servers = ColdServers(
            self.directory, settings.cold_limit, self.cold_mandates.is_held, self.counters
        )
        self.assigner = Assigner(self.directory, self.fleet.is_zone_reachable, self.cold_servers)
        self.flows = TrackedFlowTable()
        self.latencies = Latencies()
        self.timers = Timers()
        self.actions: list[SteeringAction] = []
        self._rows_by_batch_and_peer: dict[tuple[type[Any], InstanceId], list[Any]] = defaultdict(
            list
        )

    def apply_settings(self, settings: SteeringSettings) -> None:
        """Applies changed settings: seeds and limits."""
        self.settings = settings
        self.fleet.apply_settings(settings)
        self.cold_servers.cold_limit = settings.cold_limit

    def log(self, event: LogEvent, detail: str) -> None:
        """Queues a log entry."""
        self.actions.append(LogEntry(event, detail))

    def describe_directory(self, now: float) -> str:
        """Returns the directory's position and its last confirmation as fields of a log line."""
        membership = self.fleet.membership
        age_s = membership.confirmation_age_s(now)
        age_ms = 'none' if age_s is None else round(age_s * MS_PER_S)
        confirmed_by = membership.confirmed_by
        return f'{self.directory.position} confirmed_ms={age_ms} confirmed_by={confirmed_by}'

    def add_row(self, batch_type: type[Any], peer: InstanceId, row: Any) -> None:
        """Adds a row to the batch that the next flush sends to a peer."""
        self._rows_by_batch_and_peer[batch_type, peer].append(row)

    def flush(self) -> None:
        """Queues the collected batches, each as one message."""
        rows_by_batch_and_peer = self._rows_by_batch_and_peer
        if not rows_by_batch_and_peer:
            return
        self._rows_by_batch_and_peer = defaultdict(list)
        for (batch_type, peer), rows in rows_by_batch_and_peer.items():
            self.send(peer, batch_type(tuple(rows)))

    def send(self, peer: InstanceId, message: Any) -> None:
        """Queues a message to a peer; does nothing if the peer's address is unknown."""
        target = self.fleet.find_endpoint(peer)
        if target is not None:
            self.actions.append(SendMessage(target, message))

    def send_heartbeat(
        self,
        targets: Sequence[Endpoint],
        now: float,
        wants_answer: bool = False,
        answered: FleetHeartbeat | None = None,
    ) -> None:
        """Queues a heartbeat to each target; does nothing without targets."""
        if not targets:
            return
        message = self.fleet.make_heartbeat(self.directory, now, wants_answer, answered)
        self.actions.extend(SendMessage(target, message) for target in targets)
