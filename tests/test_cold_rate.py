"""Tests of the count of offers to cold servers, without a network."""

from itertools import product
from random import Random

from testtools import TestCase
from testtools.matchers import Equals, GreaterThan, LessThan

from berylstair.cold_rate import (
    CORRECTION_PERIOD_S,
    MAX_GRANT_TRANSIT_S,
    MAX_OFFER_TRANSIT_S,
    WINDOW_S,
    ColdRateLimiter,
    correction_copies,
)
from berylstair.ids import BackendId, FlowKey

SERVER = BackendId('i-1')
OTHER_SERVER = BackendId('i-2')
MEASURED_S = 20.0
STEP_S = 0.003


def make_flow(number: int) -> FlowKey:
    """Returns the key of a flow."""
    return FlowKey(number.to_bytes(12, 'big'))


def replay(limit: int, in_vain_ratio: float, seed: int) -> list[float]:
    """Offers as many flows as the limiter grants and returns when the segments arrive.

    Grants and offers take any time up to their limits. A share of the offers is in vain
    and is corrected at the last moment; the others are open after 40 ms.
    """
    rng = Random(seed)
    limiter = ColdRateLimiter()
    arrivals: list[float] = []
    opened: list[tuple[float, FlowKey]] = []
    for number in range(int(MEASURED_S / STEP_S)):
        now = number * STEP_S
        while opened and opened[0][0] <= now:
            limiter.record_opened(SERVER, opened.pop(0)[1])
        if not limiter.has_room(SERVER, limit, now):
            continue
        flow = make_flow(number)
        limiter.record_offer(SERVER, flow, now)
        offered_at = now + rng.choice((0, MAX_GRANT_TRANSIT_S))
        arrivals.append(offered_at + rng.choice((0, MAX_OFFER_TRANSIT_S)))
        if rng.random() >= in_vain_ratio:
            opened.append((now + 0.04, flow))
        elif correction_copies(limit):
            arrivals.append(offered_at + CORRECTION_PERIOD_S)
    return sorted(arrivals)


def most_in_a_second(times: list[float]) -> int:
    """Returns the largest number of the times that lie in one second."""
    return max((sum(first <= at <= first + 1 for at in times) for first in times), default=0)


class ColdRateLimiterTest(TestCase):
    """As many flows as possible are offered to a cold server, all the time."""

    def test_the_bound_holds_at_the_server_whatever_the_transit_times(self) -> None:
        for limit, in_vain_ratio, seed in product((1, 2, 5, 8, 40), (0.0, 0.2, 1.0), (1, 2, 3)):
            most = most_in_a_second(replay(limit, in_vain_ratio, seed))
            with self.subTest(limit=limit, in_vain_ratio=in_vain_ratio, seed=seed):
                self.assertThat(most, LessThan(limit + 1))

    def test_most_of_the_bound_is_used_while_the_offers_are_answered(self) -> None:
        for limit in (5, 8, 40):
            used_per_s = len(replay(limit, 0.0, 1)) / MEASURED_S
            # Room for one correction, and the variation of the transit times, are lost.
            with self.subTest(limit=limit):
                self.assertThat(used_per_s, GreaterThan((limit - 1) / WINDOW_S - 0.5))

    def test_a_bound_of_zero_allows_no_offer(self) -> None:
        self.assertThat(ColdRateLimiter().has_room(SERVER, 0, 0.0), Equals(False))

    def test_repeated_offers_of_a_flow_count_each_time(self) -> None:
        limiter = ColdRateLimiter()
        for _ in range(4):
            self.assertThat(limiter.has_room(SERVER, 5, 0.0), Equals(True))
            limiter.record_offer(SERVER, make_flow(1), 0.0)
            limiter.record_opened(SERVER, make_flow(1))
        self.assertThat(limiter.has_room(SERVER, 5, WINDOW_S - 0.001), Equals(False))
        self.assertThat(limiter.has_room(SERVER, 5, WINDOW_S), Equals(True))

    def test_servers_are_counted_apart_and_forgotten(self) -> None:
        limiter = ColdRateLimiter()
        for number in range(5):
            limiter.record_offer(SERVER, make_flow(number), 0.0)
        self.assertThat(limiter.has_room(OTHER_SERVER, 5, 0.0), Equals(True))
        limiter.prune(CORRECTION_PERIOD_S + WINDOW_S)
        self.assertThat(limiter._offers_by_backend, Equals({}))
