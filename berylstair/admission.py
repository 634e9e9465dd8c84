"""Decides whether a flow is refused at once.

Load pattern: an overload so high, or so few servers left, that a flow would wait
until its caller gives up opening it, or until its answer is of no use any more. The
caller is then refused at once and may retry; a flow that can still be served, even if
late, is not refused.
"""

__all__ = ['MAX_WAIT_S', 'expected_wait_s', 'should_refuse']

# Callers give up this long after their first opening segment.
CALLER_GIVES_UP_S = 1.4
# Two offers of 60 ms, as the first may be lost, and the transit of a segment and of an
# answer, up to 60 ms each, which are 0.24 s.
OFFER_ALLOWANCE_S = 0.25
# Wait for a slot after which an offer would come too late.
MAX_WAIT_S = CALLER_GIVES_UP_S - OFFER_ALLOWANCE_S


def expected_wait_s(work_ahead_s: float, slots: float) -> float:
    """Returns how long a flow is expected to wait for a slot, in seconds.

    Args:
        work_ahead_s: Work in seconds of the flows that get a slot before it.
        slots: Slots, or share of the slots, that these flows get.
    """
    return work_ahead_s / max(slots, 1)


def should_refuse(wait_s: float, work_s: float, waited_s: float, deadline_s: float) -> bool:
    """Returns whether a flow cannot be offered, or cannot be answered, in time.

    Args:
        wait_s: Expected wait for a slot in seconds.
        work_s: Mean work time of a flow of its kind in seconds.
        waited_s: Time in seconds since the caller's first opening segment.
        deadline_s: Time in seconds after that segment at which an answer is of no use.
    """
    offered_s = waited_s + wait_s
    return offered_s > MAX_WAIT_S or offered_s + work_s > deadline_s
