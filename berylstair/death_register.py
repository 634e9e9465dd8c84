"""Servers that were found dead, as far as an instance was told."""

from collections.abc import Iterator
from dataclasses import dataclass

from berylstair.server_death import EntryMark, ServerLifetime

__all__ = ['DeathRegister']

# A death is believed for this long after the checks that showed it. The flows of a server
# that has been reachable for `stable_window_ms`, 4 s at least, must not be reset, so this,
# the 0.5 s of a check and a pause of the process of up to 1 s that goes unnoticed do not
# take longer together.
DEATH_VALIDITY_S = 2.5


@dataclass(slots=True)
class _Verdict:
    """What is known of one lifetime of a server.

    Attributes:
        number: Counts the changes between dead and alive: odd means dead, even alive.
        checked_at: When the checks ended that showed the death.
        silent_since: Since when no flow of the server has shown progress.
    """

    number: int
    checked_at: float
    silent_since: float
    entry: EntryMark


class DeathRegister:
    """Holds the newest verdict on each server, whatever the order in which they arrive."""

    def __init__(self) -> None:
        """Starts without verdicts."""
        self._verdict_by_server: dict[ServerLifetime, _Verdict] = {}

    def __iter__(self) -> Iterator[ServerLifetime]:
        """Iterates over a copy of the servers that have a verdict."""
        return iter(tuple(self._verdict_by_server))

    def number_of(self, server: ServerLifetime) -> int:
        """Returns the number of the verdict on a server, 0 without one."""
        verdict = self._verdict_by_server.get(server)
        return verdict.number if verdict else 0

    def times_of(self, server: ServerLifetime) -> tuple[float, float]:
        """Returns when a server was last checked and since when it is silent, in seconds."""
        verdict = self._verdict_by_server[server]
        return verdict.checked_at, verdict.silent_since

    def is_refuted_by(self, server: ServerLifetime, progress_at: float) -> bool:
        """Returns whether progress at a time in seconds shows that a death is none."""
        return self.is_marked(server) and progress_at > self.times_of(server)[1]

    def is_marked(self, server: ServerLifetime) -> bool:
        """Returns whether the newest verdict is that the server is dead, however old it is."""
        return bool(self.number_of(server) % 2)

    def is_dead(self, server: ServerLifetime, now: float) -> bool:
        """Returns whether a server counts as dead at a time in seconds."""
        verdict = self._verdict_by_server.get(server)
        if verdict is None or not verdict.number % 2:
            return False
        return now - verdict.checked_at < DEATH_VALIDITY_S

    def apply(
        self, server: ServerLifetime, number: int, times: tuple[float, float], entry: EntryMark
    ) -> bool:
        """Applies a verdict unless a newer one is held.

        Args:
            server: The server.
            number: Number of the verdict.
            times: When the checks ended, and since when the server is silent, in seconds.
            entry: Present state of the server's entry.

        Returns:
            Whether it changes between dead and alive.
        """
        held = self._verdict_by_server.get(server)
        if held is not None and number <= held.number:
            if number == held.number:
                held.checked_at = max(held.checked_at, times[0])
            return False
        was_dead = self.is_marked(server)
        self._verdict_by_server[server] = _Verdict(number, *times, entry)
        return was_dead != bool(number % 2)

    def has_new_entry(self, server: ServerLifetime, current: EntryMark) -> bool:
        """Returns whether a server has written its entry since it was found dead."""
        verdict = self._verdict_by_server.get(server)
        return verdict is not None and verdict.entry.is_renewed_by(current)

    def forget(self, server: ServerLifetime) -> None:
        """Drops the verdict on a server that has restarted or is no longer known."""
        self._verdict_by_server.pop(server, None)
