"""Definitions shared by the actors that run a packet path."""

import time

__all__ = ['Serve', 'boot_clock']


class Serve:
    """Message that tells an actor to run its loop until its planned stop is complete."""


def boot_clock() -> float:
    """Returns the seconds since boot, including time spent suspended."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)
