"""Composition root: wires settings, core, sockets and actors together."""

import gc
import signal
import threading
from pathlib import Path
from random import SystemRandom

from berylstair.admin import AdminActor, ServeAdmin
from berylstair.catalogue import LogEvent
from berylstair.entry import EntryActor, EntryLoop
from berylstair.event import StopRequested
from berylstair.instance import EntryInstance, InstanceDependencies
from berylstair.log import write_event
from berylstair.policy import POLICY_FACTORY_BY_NAME
from berylstair.serving import Serve, boot_clock
from berylstair.settings import WITNESS_PLACEMENT_BY_NAME, Settings, SourceKind, SourceSettings
from berylstair.source import ConfigurationSource, DirectorySource, HttpSource
from berylstair.status import is_source_reader
from berylstair.watcher import StartRead, WatcherActor

__all__ = ['serve']


def serve(settings: Settings) -> None:
    """Runs one entry instance until a planned stop is complete.

    Args:
        settings: Validated settings.
    """
    rng = SystemRandom()
    dependencies = InstanceDependencies(
        policy=POLICY_FACTORY_BY_NAME[settings.policy](),
        witness_placement=WITNESS_PLACEMENT_BY_NAME[settings.witness_placement](),
        rng=rng,
    )
    instance = EntryInstance(settings.core, dependencies, boot_clock())
    loop = EntryLoop(settings, instance)
    entry = EntryActor.start(loop)
    watcher = WatcherActor.start(
        _open_source(settings.source),
        loop.post,
        lambda: is_source_reader(instance),
        rng,
    )
    admin = AdminActor.start(settings.admin_listen, loop)
    _install_signal_handlers(loop)
    _freeze_garbage_collector()
    write_event(LogEvent.STARTED, f'instance={settings.core.instance}')
    served = entry.ask(Serve(), block=False)
    watcher.tell(StartRead())
    admin.tell(ServeAdmin())
    served.get()


def _open_source(settings: SourceSettings) -> ConfigurationSource:
    if settings.kind is SourceKind.HTTP:
        return HttpSource(settings.url)
    return DirectorySource(Path(settings.path))


def _freeze_garbage_collector() -> None:
    """Excludes the objects created at start-up from garbage collection.

    A full collection would traverse all of them again and stop the packet
    path for about 20 milliseconds.
    """
    gc.collect()
    gc.freeze()


def _install_signal_handlers(loop: EntryLoop) -> None:
    """Requests a planned stop on SIGTERM and SIGINT."""
    if threading.current_thread() is not threading.main_thread():
        return
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(signal_number, lambda _number, _frame: loop.post(StopRequested()))
