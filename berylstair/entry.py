"""The actor that runs the packet path: sockets, peer connections and the core."""

import asyncio
from collections.abc import Callable, Iterable, Mapping
from concurrent.futures import Future
from typing import Any

import pykka

from berylstair.action import (
    Action,
    DiscardPendingDatagrams,
    ForwardDatagram,
    LogEntry,
    SendToBackend,
    SendToCaller,
    SendToPeer,
    Stopped,
)
from berylstair.catalogue import LogEvent
from berylstair.errors import ErrorKind
from berylstair.event import Event, Flush, TimerDue
from berylstair.instance import EntryInstance
from berylstair.log import write_event
from berylstair.peers import PeerConnections
from berylstair.ports import EntrySockets
from berylstair.serving import Serve, boot_clock
from berylstair.settings import Settings

__all__ = ['EntryActor', 'EntryLoop']


class EntryLoop:
    """Feeds events to the core and carries out its actions.

    All methods except ``post`` and ``run_query`` run on the actor's own thread.
    Events go through the asyncio loop and not through the actor's inbox, since
    an actor message costs more time than may be spent on one datagram.
    """

    def __init__(self, settings: Settings, instance: EntryInstance) -> None:
        """Opens the sockets with fixed endpoints; ``run`` opens all others."""
        self._settings = settings
        self._instance = instance
        self._loop = asyncio.new_event_loop()
        self._sockets = EntrySockets(settings, self._record_malformed_header)
        self._peer_connections = PeerConnections(
            settings, self._handle_event, instance.core.counters
        )
        self._registered_sockets: set[Any] = set()
        self._timer: asyncio.TimerHandle | None = None
        self._is_flush_due = False
        self._applied_digest = b''
        self._handler_by_action = self._build_action_handlers()

    def run(self) -> None:
        """Serves until the core reports that it has stopped."""
        asyncio.set_event_loop(self._loop)
        self._loop.run_until_complete(self._peer_connections.start())
        self._loop.call_soon(self._handle_timer)
        self._loop.run_forever()
        self._sockets.close()

    def post(self, event: Event) -> None:
        """Schedules an event from another thread."""
        self._loop.call_soon_threadsafe(self._handle_event, event)

    def run_query(self, query: Callable[[EntryInstance], Any]) -> Any:
        """Runs a read-only query on the actor's thread and returns its result."""
        future: Future[Any] = Future()

        def evaluate() -> None:
            try:
                future.set_result(query(self._instance))
            except Exception as error:  # noqa: BLE001 raised in the calling thread
                future.set_exception(error)

        self._loop.call_soon_threadsafe(evaluate)
        return future.result(timeout=5)

    def _build_action_handlers(self) -> Mapping[type[Any], Callable[[Any], None]]:
        return {
            SendToCaller: self._sockets.send_to_caller,
            SendToBackend: self._sockets.send_to_backend,
            ForwardDatagram: self._sockets.forward_datagram,
            SendToPeer: lambda action: self._peer_connections.send(action.peer, action.message),
            LogEntry: lambda action: write_event(action.event_number, action.detail),
            DiscardPendingDatagrams: lambda action: self._discard_pending_datagrams(),
            Stopped: lambda action: self._loop.call_later(0.1, self._loop.stop),
        }

    def _handle_event(self, event: Event) -> None:
        """Processes one event and schedules a flush after it."""
        self._run_core(event)
        if not self._is_flush_due:
            self._is_flush_due = True
            self._loop.call_soon(self._flush)

    def _flush(self) -> None:
        self._is_flush_due = False
        self._run_core(Flush())
        self._apply_records()
        self._schedule_timer()

    def _run_core(self, event: Event) -> None:
        try:
            actions = self._instance.handle(event, boot_clock())
        except Exception as error:  # noqa: BLE001 no event may end the process
            self._instance.core.actions = []
            write_event(LogEvent.INTERNAL_FAULT, f'event={type(event).__name__} {error!r}')
            return
        self._perform_actions(actions)

    def _perform_actions(self, actions: Iterable[Action]) -> None:
        for action in actions:
            self._handler_by_action[type(action)](action)

    def _handle_datagrams(self, read_events: Callable[[], Iterable[Event]]) -> None:
        for event in read_events():
            self._run_core(event)
        self._flush()

    def _handle_timer(self) -> None:
        self._handle_event(TimerDue())

    def _schedule_timer(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
        wake_at = self._instance.wake_at
        if wake_at is not None:
            delay_s = max(wake_at - boot_clock(), 0)
            self._timer = self._loop.call_later(delay_s, self._handle_timer)

    def _apply_records(self) -> None:
        """Updates sockets and peer connections when the records in force have changed."""
        store = self._instance.core.store
        if self._applied_digest == store.digest:
            return
        self._applied_digest = store.digest
        self._peer_connections.apply_instances(store.instance_by_id)
        for sock in self._registered_sockets:
            self._loop.remove_reader(sock)
        self._sockets.bind_addresses(set(store.service_by_address))
        readers = self._sockets.readers()
        for sock, read_events in readers.items():
            self._loop.add_reader(sock, self._handle_datagrams, read_events)
        self._registered_sockets = set(readers)

    def _discard_pending_datagrams(self) -> None:
        discarded_count = self._sockets.discard_pending_datagrams()
        self._instance.core.counters.refusals[ErrorKind.LATE_WAKE] += discarded_count

    def _record_malformed_header(self) -> None:
        self._record_refusal(ErrorKind.MALFORMED_HEADER)

    def _record_refusal(self, kind: ErrorKind) -> None:
        self._instance.core.counters.record_refusal(kind)


class EntryActor(pykka.ThreadingActor):
    """Runs the entry loop on its own thread.

    While it serves, other actors reach it through ``EntryLoop.post``.
    """

    use_daemon_thread = True

    def __init__(self, loop: EntryLoop) -> None:
        """Sets up an actor that runs the given loop."""
        super().__init__()
        self._loop = loop

    def on_receive(self, message: Any) -> None:
        """Runs the loop on a Serve message, until the planned stop is complete."""
        if isinstance(message, Serve):
            self._loop.run()
