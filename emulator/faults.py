"""Faults of a link, drawn from a seeded random generator."""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass
from random import Random

__all__ = ['Faults', 'Link']


@dataclass(frozen=True, slots=True)
class Faults:
    """What a link does to packets.

    Attributes:
        drop: Share of packets lost.
        double: Share of packets sent twice.
        delay_ms: Least and most delay; a range reorders packets.
        is_cut: True where nothing passes.
        is_reset: True where connections end with a reset.
    """

    drop_ratio: float = 0.0
    duplicate_ratio: float = 0.0
    delay_ms: tuple[float, float] = (0.0, 0.0)
    is_blocked: bool = False
    resets_connections: bool = False


class Link:
    """Applies faults to the packets of one link."""

    def __init__(self, rng: Random) -> None:
        """Starts without faults."""
        self.faults = Faults()
        self._rng = rng

    def transmit(self, send: Callable[[], None]) -> None:
        """Calls ``send`` never, once or twice, now or later."""
        faults = self.faults
        if faults.is_blocked or self._rng.random() < faults.drop_ratio:
            return
        copies = 2 if self._rng.random() < faults.duplicate_ratio else 1
        for _ in range(copies):
            delay_s = self._rng.uniform(*faults.delay_ms) / 1000
            if delay_s:
                asyncio.get_running_loop().call_later(delay_s, send)
            else:
                send()
