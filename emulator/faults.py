"""Faults of a network link, drawn from a seeded random generator."""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass
from random import Random

__all__ = ['Faults', 'Link']


@dataclass(frozen=True, slots=True)
class Faults:
    """Faults that a link applies to packets.

    Attributes:
        drop_ratio: Share of packets lost, 0 to 1.
        duplicate_ratio: Share of packets sent twice, 0 to 1.
        delay_ms: Least and greatest delay; a range reorders packets.
        is_blocked: Whether all packets are lost.
        resets_connections: Whether connections end with a reset.
        refuses_calls: Whether each HTTP call is answered with status 503.
    """

    drop_ratio: float = 0.0
    duplicate_ratio: float = 0.0
    delay_ms: tuple[float, float] = (0.0, 0.0)
    is_blocked: bool = False
    resets_connections: bool = False
    refuses_calls: bool = False


class Link:
    """Applies faults to the packets of one link."""

    def __init__(self, rng: Random) -> None:
        """Creates a link without faults that draws from ``rng``."""
        self.faults = Faults()
        self._rng = rng

    def transmit(self, send: Callable[[], None]) -> None:
        """Calls ``send`` not at all, once or twice, at once or after a delay."""
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
