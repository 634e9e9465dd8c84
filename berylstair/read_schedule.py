"""Decides when an instance reads the source of the directory itself."""

from typing import NamedTuple

from berylstair.directory import START_POSITION, Position
from berylstair.steering_core import SteeringCore

__all__ = ['WATCH_TIMEOUT_S', 'ReadPlan', 'ReadSchedule']

# A watch that sees no change is repeated after this time, well within the limits for
# following a leaving server and a new configuration.
WATCH_TIMEOUT_S = 1.0
# An instance reads the source itself once its directory has been unconfirmed for this
# share of the time within which a leaving server or a configuration must be followed.
# A random jitter shortens the share, so that the first instance to read does so for all.
READ_DELAY_RATIO = 0.6
READ_JITTER_RATIO = 0.08


class ReadPlan(NamedTuple):
    """Tells the reader whether to read, and from which position on.

    Attributes:
        is_due: Whether the source is to be read now.
        position: Position up to which the directory is complete.
        wait_s: Time in seconds for which a watch may wait for a change.
    """

    is_due: bool
    position: Position
    wait_s: float = WATCH_TIMEOUT_S


class ReadSchedule:
    """Plans the reads of one instance from the age of its directory."""

    def __init__(self, core: SteeringCore) -> None:
        """Chooses the instance's jitter."""
        self._core = core
        self._jitter_ratio = core.rng.random() * READ_JITTER_RATIO
        # Whether this instance reads in the place of the one that should.
        self._is_substitute = False

    def plan(self, now: float) -> ReadPlan:
        """Returns what to read at a time in seconds.

        A watch ends when the directory has been unconfirmed for ``WATCH_TIMEOUT_S``:
        its answer confirms the directory for all instances. In a small fleet, one
        that had to read in the reader's place goes on until another one reads.
        """
        core = self._core
        membership = core.fleet.membership
        position = core.directory.position
        age_s = membership.confirmation_age_s(now)
        max_age_s = core.settings.time_limits.propagation_s * (
            READ_DELAY_RATIO - self._jitter_ratio
        )
        is_overdue = age_s is None or age_s > max_age_s
        is_source_reader = core.fleet.is_source_reader()
        if is_source_reader or core.fleet.is_large or age_s is None:
            # Confirmations take longer to reach all of a large fleet, so that some instance
            # is overdue at any time: as substitutes they would all call the source.
            self._is_substitute = False
        elif is_overdue:
            self._is_substitute = True
        elif membership.confirmed_by != core.fleet.own_id:
            self._is_substitute = False
        is_due = position == START_POSITION or is_overdue or is_source_reader
        wait_s = 0 if age_s is None else min(max(WATCH_TIMEOUT_S - age_s, 0), WATCH_TIMEOUT_S)
        return ReadPlan(is_due or self._is_substitute, position, wait_s)
