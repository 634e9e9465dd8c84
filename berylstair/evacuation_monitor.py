"""Ends evacuations whose grace period is over, and reports which zones are evacuated."""

from berylstair.catalogue import LogEvent
from berylstair.ids import ZoneId
from berylstair.steering_core import SteeringCore

__all__ = ['EvacuationMonitor']


class EvacuationMonitor:
    """Follows the evacuations of one instance's directory.

    A zone is reported when its evacuation begins and when it ends, so the number of
    log lines follows that of the operator's changes and not that of the contents read.
    """

    def __init__(self, core: SteeringCore) -> None:
        """Creates a monitor of a steering core's directory."""
        self._core = core
        self._reported_zones: frozenset[ZoneId] = frozenset()
        self._planned_end_at: float | None = None

    def update(self, now: float) -> None:
        """Reports what has changed, and plans the next end of an evacuation.

        Args:
            now: Current time in seconds.
        """
        directory = self._core.directory
        directory.end_evacuations(now)
        zones = directory.evacuations.zones
        for zone in sorted(zones - self._reported_zones):
            self._log(LogEvent.ZONE_EVACUATED, zone)
        for zone in sorted(self._reported_zones - zones):
            self._log(LogEvent.ZONE_TAKEN_BACK, zone)
        self._reported_zones = zones
        next_end_at = directory.evacuations.next_end_at
        if next_end_at != self._planned_end_at:
            self._planned_end_at = next_end_at
            if next_end_at is not None:
                self._core.timers.schedule(next_end_at, self.update)

    def _log(self, event: LogEvent, zone: ZoneId) -> None:
        directory = self._core.directory
        count = sum(row.server.zone == zone for row in directory.registered_servers())
        self._core.log(event, f'zone={zone} {directory.position} servers={count}')
