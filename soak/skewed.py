"""Runs an instance whose time of day is off, as after a step of the clock."""

import os
import runpy
import time

_CLOCK_OFFSET_S = float(os.environ.get('SOAK_CLOCK_AHEAD', '0'))
_system_time = time.time


def skewed_time() -> float:
    """Returns the time of day as this process sees it."""
    return _system_time() + _CLOCK_OFFSET_S


if __name__ == '__main__':
    time.time = skewed_time
    runpy.run_module('berylstair.platform', run_name='__main__')
