"""Decides whether a new flow is refused at once.

Load pattern: an overload so high, or so few servers left, that a flow would wait
until its caller gives up opening it. The caller is then refused at once and may
retry; a flow that can still be served, even if late, is not refused.
"""

__all__ = ['MAX_WAIT_S', 'expected_wait_s', 'should_refuse']

# Callers give up 1.4 s after their first opening segment; the offer, its answer and the
# transit of both take the rest.
MAX_WAIT_S = 1.15


def expected_wait_s(waiting_count: int, slots: int, work_s: float) -> float:
    """Returns how long a flow that arrives now is expected to wait for a slot, in seconds.

    Args:
        waiting_count: Flows that wait already.
        slots: Slots of all servers that take new flows.
        work_s: Mean work time of a flow in seconds.
    """
    return waiting_count * work_s / max(slots, 1)


def should_refuse(waiting_count: int, slots: int, work_s: float, waited_s: float) -> bool:
    """Returns whether a flow cannot be offered to a server in time.

    Args:
        waiting_count: Flows that wait already.
        slots: Slots of all servers that take new flows.
        work_s: Mean work time of a flow in seconds.
        waited_s: Time in seconds since the caller's first opening segment.
    """
    return slots == 0 or waited_s + expected_wait_s(waiting_count, slots, work_s) > MAX_WAIT_S
