"""Whether a new flow is refused at once.

Load pattern: a crest so high, or so few servers left, that a flow would wait
until its caller has given the opening up. It is told so at once and may come
back; one that can be served, though late, is not refused.
"""

__all__ = ['MAX_WAIT_S', 'expected_wait_s', 'should_refuse']

# Callers give an opening up 1.4 s after its first segment; an offer, its
# answer and their way take the rest.
MAX_WAIT_S = 1.15


def expected_wait_s(waiting_count: int, slots: int, work_s: float) -> float:
    """Returns how long a flow that arrives now waits for a slot.

    Args:
        waiting: Flows that wait already.
        slots: Slots of all servers that take new flows.
        work_s: Mean work of a flow.
    """
    return waiting_count * work_s / max(slots, 1)


def should_refuse(waiting_count: int, slots: int, work_s: float, waited_s: float) -> bool:
    """Tells whether a flow cannot be offered to a server in time.

    Args:
        waiting: Flows that wait already.
        slots: Slots of all servers that take new flows.
        work_s: Mean work of a flow.
        waited_s: Time since the caller's first opening segment.
    """
    return slots == 0 or waited_s + expected_wait_s(waiting_count, slots, work_s) > MAX_WAIT_S
