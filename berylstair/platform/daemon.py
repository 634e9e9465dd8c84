"""Composition root of an instance on the users' platform."""

import gc
import os
import signal
import sys
import time
from pathlib import Path
from random import SystemRandom

from berylstair.catalogue import LogEvent
from berylstair.directory_reader import DirectoryReader, ReadDirectory, ReadSink
from berylstair.errors import ConfigurationError
from berylstair.linelog import LineLog
from berylstair.platform.items import decode_change
from berylstair.platform.segments import PlatformSegments
from berylstair.platform.settings import SETTINGS_VARIABLE, load_platform_settings
from berylstair.platform.store import StoreSource
from berylstair.serving import Serve, boot_clock
from berylstair.steering import SteeringInstance
from berylstair.steering_loop import SteeringActor, SteeringLoop
from berylstair.steering_ports import SteeringSockets
from berylstair.steering_settings import SteeringSettings

__all__ = ['main', 'serve_on_platform']

EXIT_FAILURE = 1
_MS_PER_S = 1000


def main() -> int:
    """Runs one instance until a planned stop is complete.

    Returns:
        Exit status.
    """
    path = Path(os.environ.get(SETTINGS_VARIABLE, ''))
    try:
        settings = load_platform_settings(path)
    except ConfigurationError as error:
        log = LineLog(sys.stdout.fileno(), '')
        log.write(LogEvent.SETTINGS_REFUSED, f'fault="{error}"')
        return EXIT_FAILURE
    serve_on_platform(settings, path)
    return 0


def serve_on_platform(settings: SteeringSettings, path: Path) -> None:
    """Builds the components and serves until a planned stop is complete.

    Args:
        settings: Validated settings.
        path: File of the settings, read again on SIGHUP.
    """
    log = LineLog(sys.stdout.fileno(), settings.instance)
    rng = SystemRandom()
    incarnation = int(time.time() * _MS_PER_S)
    steering = SteeringInstance(settings, decode_change, rng, incarnation, boot_clock())
    sockets = SteeringSockets(settings, PlatformSegments(), steering.core.counters, log)
    loop = SteeringLoop(settings, steering, sockets, log)
    _install_signal_handlers(loop, path)
    gc.collect()
    gc.freeze()
    log.write(LogEvent.STARTED, f'zone={settings.zone} incarnation={incarnation}')
    serve_future = SteeringActor.start(loop).ask(Serve(), block=False)
    sink = ReadSink(loop.handle_answer, loop.handle_source_failure)
    reader = DirectoryReader.start(StoreSource(settings.source_endpoint), loop.read_plan, sink, rng)
    reader.tell(ReadDirectory())
    serve_future.get()


def _install_signal_handlers(loop: SteeringLoop, path: Path) -> None:
    """Makes SIGTERM and SIGINT begin a planned stop, and SIGHUP reload the settings."""
    for number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(number, lambda _number, _frame: loop.stop())
    signal.signal(
        signal.SIGHUP,
        lambda _number, _frame: loop.reload(lambda: load_platform_settings(path)),
    )
