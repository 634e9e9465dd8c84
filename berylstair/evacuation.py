"""Zones that are evacuated: no new flow goes to their servers, open flows continue.

Load pattern: a zone is evacuated during peak load, so that at that moment flows are in
every phase, from a placement that was just requested to an offer that is about to be
repeated. Whatever sends an opening segment asks here, through the directory, whether
the server's zone may get one.
"""

import math

from berylstair.ids import ZoneId

__all__ = ['EvacuationTable']


class EvacuationTable:
    """Evacuated zones, each with the time at which its evacuation ends, if that is known.

    An evacuation that the source may have lost with its newest contents stays in
    force for a grace period, in which the operator's item may be back.
    """

    def __init__(self) -> None:
        """Starts without evacuated zones."""
        self._ends_at_by_zone: dict[ZoneId, float] = {}

    def __len__(self) -> int:
        """Returns the number of evacuated zones."""
        return len(self._ends_at_by_zone)

    def __contains__(self, zone: ZoneId) -> bool:
        """Returns whether a zone is evacuated."""
        return zone in self._ends_at_by_zone

    @property
    def zones(self) -> frozenset[ZoneId]:
        """Evacuated zones."""
        return frozenset(self._ends_at_by_zone)

    @property
    def next_end_at(self) -> float | None:
        """Time in seconds at which the next evacuation ends, None if no end is known."""
        ends_at = min(self._ends_at_by_zone.values(), default=math.inf)
        return None if ends_at == math.inf else ends_at

    def begin(self, zone: ZoneId) -> None:
        """Evacuates a zone, or cancels the end of its evacuation."""
        self._ends_at_by_zone[zone] = math.inf

    def end(self, zone: ZoneId, ends_at: float) -> None:
        """Lets the evacuation of a zone end at a time in seconds; ignores other zones."""
        if zone in self._ends_at_by_zone:
            self._ends_at_by_zone[zone] = ends_at

    def remove_ended(self, now: float) -> list[ZoneId]:
        """Removes the zones whose evacuation has ended, and returns them."""
        ended = [zone for zone, ends_at in self._ends_at_by_zone.items() if ends_at <= now]
        for zone in ended:
            self._ends_at_by_zone.pop(zone)
        return ended
