"""Entry point of an instance on the users' platform."""

import os
import signal
import sys
from types import FrameType


def _exit_before_serving(_number: int, _frame: FrameType | None) -> None:
    """Exits at once on a stop signal that arrives before the process serves anything."""
    os._exit(0)


if __name__ == '__main__':
    signal.signal(signal.SIGTERM, _exit_before_serving)
    # SIGHUP asks to reload the settings, which are read after this anyway.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    # Importing the rest takes a large part of a second; signals may arrive meanwhile.
    from berylstair.platform.daemon import main

    status = main()
    sys.stdout.flush()
    # Threads that wait for the platform must not delay the exit of the process.
    os._exit(status)
