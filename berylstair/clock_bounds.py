"""Converts times of other instances' clocks to the own clock without making them later."""

from dataclasses import dataclass

from berylstair.ids import InstanceId

__all__ = ['ClockBounds']

# Two clocks may run apart by this share of the time that passes.
MAX_DRIFT_RATIO = 0.0002
# Messages state times in whole milliseconds.
_ROUNDING_S = 0.002


@dataclass(frozen=True, slots=True)
class _Bound:
    """Least difference between the own clock and a peer's, in seconds.

    Attributes:
        incarnation: Incarnation of the peer; another one may have another clock.
        measured_at: Own time of the answer that showed it.
    """

    incarnation: int
    difference_s: float
    measured_at: float

    def at(self, now: float) -> float:
        """Returns the difference that still holds now, as the clocks may have drifted."""
        return self.difference_s - (now - self.measured_at) * MAX_DRIFT_RATIO


class ClockBounds:
    """Lower bounds of the own time at which a peer's clock showed a time.

    A message may arrive at any time after it was sent, so its arrival says nothing
    about its age. A peer's answer was sent after the message that it answers: when
    the peer's clock showed the time in the answer, the own clock showed at least
    the time at which that message was sent.
    """

    def __init__(self) -> None:
        """Starts without bounds."""
        self._bound_by_peer: dict[InstanceId, _Bound] = {}

    def record_round_trip(
        self, peer: InstanceId, incarnation: int, sent_at: float, answered_at: float, now: float
    ) -> None:
        """Records an answer of a peer.

        Args:
            peer: The peer.
            incarnation: Its incarnation.
            sent_at: Own time at which the message was sent that the peer answered.
            answered_at: Time of the peer's clock at which it sent the answer.
            now: Current time of the own clock.
        """
        if sent_at > now:
            return
        bound = _Bound(incarnation, sent_at - answered_at, now)
        held = self._bound_by_peer.get(peer)
        is_same_clock = held is not None and held.incarnation == incarnation
        if held is None or not is_same_clock or bound.difference_s >= held.at(now):
            self._bound_by_peer[peer] = bound

    def record_message(
        self, peer: InstanceId, incarnation: int, sent_at: float, now: float
    ) -> None:
        """Drops the bound of a peer if it puts the sending of a message after its arrival.

        Such a bound comes from a time that the peer stated and its clock did not show.

        Args:
            peer: The peer.
            incarnation: Its incarnation.
            sent_at: Time of the peer's clock at which it sent the message.
            now: Current time of the own clock.
        """
        bound = self._bound_by_peer.get(peer)
        is_same_clock = bound is not None and bound.incarnation == incarnation
        if bound is not None and is_same_clock and sent_at + bound.at(now) > now + _ROUNDING_S:
            self.forget(peer)

    def to_own_time(
        self, peer: InstanceId, incarnation: int, peer_time: float, now: float
    ) -> float | None:
        """Returns a time of a peer's clock on the own clock, or an earlier one.

        Returns:
            The time, at most ``now``; None without an answer of that incarnation.
        """
        bound = self._bound_by_peer.get(peer)
        if bound is None or bound.incarnation != incarnation:
            return None
        return min(peer_time + bound.at(now), now)

    def has_recent(self, peer: InstanceId, since: float) -> bool:
        """Returns whether the bound of a peer was measured at or after a time."""
        bound = self._bound_by_peer.get(peer)
        return bound is not None and bound.measured_at >= since

    def forget(self, peer: InstanceId) -> None:
        """Drops the bound of a peer."""
        self._bound_by_peer.pop(peer, None)
