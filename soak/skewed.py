"""Runs an instance with an offset time of day, as after a clock step."""

import os
import runpy
import time

_CLOCK_OFFSET_S = float(os.environ.get('SOAK_CLOCK_AHEAD', '0'))
_system_time = time.time


def skewed_time() -> float:
    """Returns the system's time of day plus the offset."""
    return _system_time() + _CLOCK_OFFSET_S


if __name__ == '__main__':
    time.time = skewed_time
    runpy.run_module('berylstair.platform', run_name='__main__')
