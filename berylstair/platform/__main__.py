"""Entry point of an instance on the users' platform."""

import os
import signal
import sys
from types import FrameType


def _exit_before_serving(_number: int, _frame: FrameType | None) -> None:
    """Ends a process that is told to stop before it serves anything."""
    os._exit(0)


if __name__ == '__main__':
    signal.signal(signal.SIGTERM, _exit_before_serving)
    # The settings are read after this in any case.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    # Importing the rest takes a good part of a second.
    from berylstair.platform.daemon import main

    status = main()
    sys.stdout.flush()
    # Threads that wait on the platform must not hold up the end of the process.
    os._exit(status)
