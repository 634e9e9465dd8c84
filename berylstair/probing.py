"""Which peers of a large fleet are asked for a sign of life, and who is lost.

Each instance asks a few others a period, in rounds of random order, so that its
traffic does not grow with the fleet while everybody is asked by somebody soon
(SWIM, Das, Gupta and Motivala, 2002). Whoever finds a peer lost tells the rest.
"""

from collections.abc import Iterable
from dataclasses import dataclass
from random import Random

from berylstair.ids import InstanceId

__all__ = ['PROBE_INTERVAL_S', 'OverdueProbes', 'ProbeScheduler']

PROBE_INTERVAL_S = 0.25
# Peers asked a period; eight a second find a silent one of any fleet at once.
PROBES_PER_INTERVAL = 2
# Signs of life that may be missed: of ten datagrams one may be lost, both ways.
MAX_PROBE_ATTEMPTS = 4


@dataclass(frozen=True, slots=True)
class OverdueProbes:
    """Peers that have not answered.

    Attributes:
        again: Those that are asked once more.
        lost: Those that are given up.
    """

    retry: list[InstanceId]
    lost: list[InstanceId]


class ProbeScheduler:
    """Rounds over the peers, and the questions that are open."""

    def __init__(self, rng: Random) -> None:
        """Starts a first round.

        Args:
            rng: Orders each round.
        """
        self._rng = rng
        self._remaining_in_round: list[InstanceId] = []
        self._attempts_by_id: dict[InstanceId, int] = {}

    def next_targets(self, peers: Iterable[InstanceId]) -> list[InstanceId]:
        """Returns the peers to ask in this period.

        Args:
            peers: Everybody who is believed to be alive.
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
        """Notes that peers are asked beside those of the round."""
        for peer in peers:
            self._attempts_by_id.setdefault(peer, 1)

    def clear_pending(self, peer: InstanceId) -> None:
        """Notes a sign of life."""
        self._attempts_by_id.pop(peer, None)

    def collect_overdue(self) -> OverdueProbes:
        """Returns whom to ask again and whom to give up, once a period."""
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
