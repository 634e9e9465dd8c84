"""Reads the simulated store for one instance, as its reader actor would."""

from collections.abc import Callable

from berylstair.directory_source import SourceListing
from berylstair.read_schedule import ReadPlan, ReadSchedule
from emulator.simulation import SimulatedWorld

__all__ = ['SimulatedReader']

IDLE_POLL_INTERVAL_S = 0.2
RETRY_DELAY_S = 0.4
ANSWER_TIMEOUT_S = 0.6
STORE_DELAY_S = 0.002
WATCH_CHECK_INTERVAL_S = 0.02


class SimulatedReader:
    """Calls the store whenever the instance's schedule says so, until the world ends.

    Attributes:
        call_count: Calls so far.
        is_refused: Whether the store turns the instance away.
    """

    def __init__(self, world: SimulatedWorld, ip: str) -> None:
        """Starts reading."""
        self.call_count = 0
        self.is_refused = False
        self._world = world
        self._ip = ip
        self._schedule = ReadSchedule(world.steering_by_ip[ip].core)
        self._needs_listing = False
        self._continue_after(0, self._poll)

    def _continue_after(self, delay_s: float, step: Callable[[], None]) -> None:
        """Schedules the next step, which a frozen process takes once it has woken."""
        self._world.schedule_at(self._ip, delay_s, step)

    def _poll(self) -> None:
        plan = self._schedule.plan(self._world.now_at(self._ip))
        if not plan.is_due:
            self._continue_after(IDLE_POLL_INTERVAL_S, self._poll)
            return
        self.call_count += 1
        delay_s = STORE_DELAY_S + self._world.delay_by_ip[self._ip]
        if self.is_refused or 2 * delay_s > ANSWER_TIMEOUT_S:
            self._continue_after(RETRY_DELAY_S, self._poll)
            return
        called_at = self._world.now_at(self._ip)
        wait_until = self._world.now + delay_s + plan.wait_s
        read = self._list if self._needs_listing else self._wait
        self._world.schedule(delay_s, lambda: read(plan, called_at, wait_until))

    def _wait(self, plan: ReadPlan, called_at: float, wait_until: float) -> None:
        """Waits at the store for a change; it cannot wait from a position that it never had."""
        world = self._world
        if plan.position > world.source_position:
            self._needs_listing = True
            self._continue_after(RETRY_DELAY_S, self._poll)
            return
        events = world.events_after(plan.position)
        if not events and world.now < wait_until:
            next_check_s = min(WATCH_CHECK_INTERVAL_S, max(wait_until - world.now, 0.0001))
            world.schedule(next_check_s, lambda: self._wait(plan, called_at, wait_until))
            return
        listing = SourceListing(world.source_position, tuple(events))
        confirmed_at = called_at if events else called_at + plan.wait_s
        delay_s = STORE_DELAY_S + world.delay_by_ip[self._ip]
        self._continue_after(delay_s, lambda: self._take(listing, confirmed_at))

    def _list(self, plan: ReadPlan, called_at: float, _wait_until: float) -> None:
        """Lists the store."""
        world = self._world
        self._needs_listing = False
        listing = SourceListing(world.source_position, tuple(world.source_items.values()))
        refuted = plan.position if plan.position > listing.position else None

        def take() -> None:
            world.deliver_listing(self._ip, listing, True, called_at, refuted)
            self._poll()

        self._continue_after(STORE_DELAY_S + world.delay_by_ip[self._ip], take)

    def _take(self, listing: SourceListing, confirmed_at: float) -> None:
        self._world.deliver_listing(self._ip, listing, False, confirmed_at)
        self._poll()
