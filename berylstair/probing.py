"""Chooses which peers of a large fleet to probe and detects lost ones.

Each instance probes a few others per interval, in rounds of random order. Its traffic
therefore does not grow with the fleet, and yet every instance is soon probed by some
other (SWIM, Das, Gupta and Motivala, 2002). An instance that detects a loss reports it
to all others.
"""

from collections.abc import Iterable
from dataclasses import dataclass
from random import Random

from berylstair.ids import InstanceId

__all__ = ['PROBE_INTERVAL_S', 'OverdueProbes', 'ProbeScheduler']

PROBE_INTERVAL_S = 0.25
# Eight probes per second from each instance detect a silent peer quickly in a fleet of
# any size.
PROBES_PER_INTERVAL = 2
# Unanswered probes after which a peer is lost. One datagram in ten may be lost in each
# direction, so a single unanswered probe proves nothing.
MAX_PROBE_ATTEMPTS = 4


@dataclass(frozen=True, slots=True)
class OverdueProbes:
    """Peers that have not answered.

    Attributes:
        retry: Those that are probed once more.
        lost: Those that left ``MAX_PROBE_ATTEMPTS`` probes unanswered.
    """

    retry: list[InstanceId]
    lost: list[InstanceId]


class ProbeScheduler:
    """Schedules probes in rounds over the peers and tracks the unanswered ones."""

    def __init__(self, rng: Random) -> None:
        """Starts without unanswered probes.

        Args:
            rng: Shuffles the peers for each round.
        """
        self._rng = rng
        self._remaining_in_round: list[InstanceId] = []
        self._attempts_by_id: dict[InstanceId, int] = {}

    def next_targets(self, peers: Iterable[InstanceId]) -> list[InstanceId]:
        """Returns the peers to probe in this interval.

        Args:
            peers: All peers that are believed to be alive.
        """
        alive = set(peers)
        chosen: list[InstanceId] = []
        while alive and len(chosen) < min(PROBES_PER_INTERVAL, len(alive)):
            if not self._remaining_in_round:
                self._remaining_in_round = sorted(alive)
                self._rng.shuffle(self._remaining_in_round)
            peer = self._remaining_in_round.pop()
            if peer in alive and peer not in chosen:
                chosen.append(peer)
                self._attempts_by_id.setdefault(peer, 1)
        return chosen

    def record_probes(self, peers: Iterable[InstanceId]) -> None:
        """Records probes that are sent in addition to those of the round."""
        for peer in peers:
            self._attempts_by_id.setdefault(peer, 1)

    def clear_pending(self, peer: InstanceId) -> None:
        """Clears the unanswered probes of a peer that was heard from."""
        self._attempts_by_id.pop(peer, None)

    def collect_overdue(self) -> OverdueProbes:
        """Returns the peers to probe again and those that are lost; called once per interval."""
        lost = [
            peer
            for peer, attempts in self._attempts_by_id.items()
            if attempts >= MAX_PROBE_ATTEMPTS
        ]
        for peer in lost:
            self._attempts_by_id.pop(peer)
        for peer in self._attempts_by_id:
            self._attempts_by_id[peer] += 1
        return OverdueProbes(list(self._attempts_by_id), lost)
