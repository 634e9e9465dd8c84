"""Actor that owns the sockets and the core of a steering instance."""

import asyncio
from collections.abc import Callable, Coroutine, Mapping
from http import HTTPStatus
from threading import Event
from typing import Any

import pykka

from berylstair.catalogue import LogEvent
from berylstair.directory_reader import SourceAnswer
from berylstair.errors import ConfigurationError, ErrorKind, SourceError
from berylstair.linelog import LineLog
from berylstair.membership import PAUSE_THRESHOLD_S
from berylstair.read_schedule import ReadPlan, ReadSchedule
from berylstair.server_check import check_server
from berylstair.serving import Serve, boot_clock
from berylstair.shared_action import LogEntry, Stopped
from berylstair.steering import SteeringInstance
from berylstair.steering_action import (
    CheckServer,
    FetchDirectory,
    ResetCaller,
    SendMessage,
    SendSegment,
)
from berylstair.steering_links import fetch_directory, serve_directory, serve_page
from berylstair.steering_ports import SteeringSockets
from berylstair.steering_settings import SteeringSettings
from berylstair.udp import MAX_DATAGRAMS_PER_READ

__all__ = ['SteeringActor', 'SteeringLoop']

# The loop applies an answer of the source within this time, unless it failed or is paused.
APPLY_TIMEOUT_S = 1.0
# A timer that runs this late shows that the process was paused or busy.
LATE_TIMER_S = 0.01
# Reads before a late timer: some 4,000 segments, a tenth of a second of work.
MAX_BACKLOG_READS = 64


class SteeringLoop:
    """Passes segments, messages and changes to the core and carries out its actions.

    ``read_plan``, ``post`` and the methods that only post work may be called from
    other threads; everything else runs on the actor's own thread.
    """

    def __init__(
        self,
        settings: SteeringSettings,
        steering: SteeringInstance,
        sockets: SteeringSockets,
        log: LineLog,
    ) -> None:
        """Prepares the loop; ``run`` starts serving."""
        self._settings = settings
        self._steering = steering
        self._sockets = sockets
        self._log = log
        self._loop = asyncio.new_event_loop()
        self._timer: asyncio.TimerHandle | None = None
        self._timer_at = boot_clock()
        self._last_active_at = boot_clock()
        self._has_backlog = False
        self._is_source_lost = False
        self._was_ready = False
        self._read_schedule = ReadSchedule(steering.core)
        self._tasks: set[asyncio.Task[None]] = set()
        self._handler_by_action = self._build_action_handlers()

    def run(self) -> None:
        """Serves until the planned stop is complete."""
        asyncio.set_event_loop(self._loop)
        self._loop.run_until_complete(self._start_servers())
        self._loop.add_reader(self._sockets.packet_socket, self._handle_segments)
        self._loop.add_reader(self._sockets.peer_socket, self._handle_messages)
        self._loop.call_soon(self._handle_timer)
        self._loop.run_forever()
        self._sockets.close()

    def post(self, work: Callable[[float], None]) -> None:
        """Schedules a function, called with the current time, from another thread."""
        self._loop.call_soon_threadsafe(self._run_work, work)

    def read_plan(self) -> ReadPlan:
        """Returns what the directory reader is to do; called from its thread."""
        return self._read_schedule.plan(boot_clock())

    def handle_answer(self, answer: SourceAnswer) -> bool:
        """Applies an answer from the directory reader; called from its thread.

        Returns:
            Whether it was applied. The reader waits for it, so that its next call
            begins where this answer ended.
        """
        applied = Event()

        def apply(now: float) -> None:
            listing, is_full_listing, confirmed_at, refuted = answer
            self._steering.handle_listing(listing, is_full_listing, now, confirmed_at, refuted)
            if self._is_source_lost:
                self._is_source_lost = False
                self._log.write(LogEvent.SOURCE_BACK, str(listing.position))
            applied.set()

        self.post(apply)
        return applied.wait(APPLY_TIMEOUT_S)

    def handle_source_failure(self, reason: str) -> None:
        """Records a failed read of the source; called from the reader's thread."""

        def record_failure(_now: float) -> None:
            self._steering.core.counters.record_refusal(ErrorKind.SOURCE_UNAVAILABLE)
            if not self._is_source_lost:
                self._is_source_lost = True
                self._log.write(LogEvent.SOURCE_LOST, reason)

        self.post(record_failure)

    def stop(self) -> None:
        """Begins a planned stop; called from a signal handler."""
        self.post(self._steering.request_stop)

    def run_timers_due_at(self, due_at: float) -> None:
        """Runs the core's timers; if they are late, after what arrived before them.

        What a timer waits for may have arrived while the process was paused or busy.
        """
        if self._has_backlog or boot_clock() - due_at > LATE_TIMER_S:
            self._read_backlog()
        self._run_guarded(self._steering.run_timers, self._read_clock())
        self.perform_actions()

    def reload(self, load: Callable[[], SteeringSettings]) -> None:
        """Loads and applies changed settings; called from a signal handler.

        Seeds and time limits change in a running process, addresses only at the
        next start.
        """

        def apply(_now: float) -> None:
            try:
                changed = load()
            except ConfigurationError as error:
                self._log.write(LogEvent.SETTINGS_REFUSED, f'fault="{error}"')
                return
            settings = self._settings.with_reloadable_from(changed)
            self._settings = settings
            self._steering.core.apply_settings(settings)
            self._log.write(LogEvent.SETTINGS_RELOADED, f'seeds={len(settings.seeds)}')

        self.post(apply)

    def perform_actions(self) -> None:
        """Carries out the pending actions; one that fails is logged, and the others are done."""
        for action in self._steering.take_actions():
            self._run_guarded(self._handler_by_action[type(action)], action)
        self._schedule_timer()
        if self._steering.is_ready != self._was_ready:
            self._was_ready = self._steering.is_ready
            position = self._steering.core.directory.position
            self._log.write(LogEvent.NOW_READY, f'is_ready={self._was_ready} {position}')

    async def _start_servers(self) -> None:
        settings = self._settings
        await serve_page(settings.readiness_endpoint, self._ready_page)
        await serve_directory(
            settings.peer_endpoint, self._steering.directory_sync.encode_changes_after
        )
        try:
            await serve_page(settings.metrics_endpoint, self._metrics_page)
        except OSError as error:
            self._log.write(
                LogEvent.METRICS_UNAVAILABLE, f'address={settings.metrics_endpoint} {error}'
            )

    def _build_action_handlers(self) -> Mapping[type[Any], Callable[[Any], None]]:
        return {
            SendSegment: self._sockets.send_segment,
            ResetCaller: self._sockets.send_reset,
            SendMessage: self._sockets.send_message,
            FetchDirectory: lambda action: self._start_task(self._fetch_changes(action)),
            CheckServer: lambda action: self._start_task(self._check_server(action)),
            LogEntry: lambda action: self._log.write(LogEvent(action.event_number), action.detail),
            Stopped: lambda action: self._loop.stop(),
        }

    def _handle_segments(self) -> None:
        self._read_segments()
        self.perform_actions()

    def _read_segments(self) -> int:
        """Handles the segments that have arrived, up to a limit, and returns their number."""
        now = self._read_clock()
        segments = list(self._sockets.read_segments())
        for segment, waited_s in segments:
            self._run_guarded(self._steering.handle_segment, segment, now, waited_s)
        self._has_backlog = len(segments) >= MAX_DATAGRAMS_PER_READ
        if not self._has_backlog:
            self._steering.handle_backlog_end()
        return len(segments)

    def _handle_messages(self) -> None:
        self._read_messages()
        self.perform_actions()

    def _read_messages(self) -> int:
        """Handles the messages that have arrived, up to a limit, and returns their number."""
        count = 0
        for sender_ip, message in self._sockets.read_messages():
            count += 1
            # An answer states this time, which must not be before the message arrived.
            now = self._read_clock()
            self._run_guarded(self._steering.handle_message, sender_ip, message, now)
        return count

    def _read_backlog(self) -> None:
        """Handles what arrived before now, as timers wait for it."""
        for _ in range(MAX_BACKLOG_READS):
            if max(self._read_messages(), self._read_segments()) < MAX_DATAGRAMS_PER_READ:
                return

    def _run_work(self, work: Callable[[float], None]) -> None:
        self._run_guarded(work, self._read_clock())
        self.perform_actions()

    def _handle_timer(self) -> None:
        self._timer = None
        self.run_timers_due_at(self._timer_at)

    def _run_guarded(self, handle: Callable[..., None], *event: Any) -> None:
        """Lets the core handle an event; an exception is logged and the process goes on."""
        try:
            handle(*event)
        except Exception as error:  # noqa: BLE001 no event may end the process
            self._steering.core.counters.record_refusal(ErrorKind.INTERNAL_FAULT)
            name = getattr(handle, '__qualname__', repr(handle))
            self._log.write(LogEvent.INTERNAL_FAULT, f'handler={name} {error!r}')

    def _read_clock(self) -> float:
        now = boot_clock()
        paused_s = now - self._last_active_at
        self._last_active_at = now
        if paused_s > PAUSE_THRESHOLD_S:
            self._steering.handle_pause(paused_s, now)
        return now

    def _schedule_timer(self) -> None:
        wake_at = self._steering.wake_at
        if wake_at is None or (self._timer is not None and self._timer_at <= wake_at):
            return
        if self._timer is not None:
            self._timer.cancel()
        self._timer_at = wake_at
        self._timer = self._loop.call_later(max(wake_at - boot_clock(), 0), self._handle_timer)

    def _start_task(self, work: Coroutine[Any, Any, None]) -> None:
        task = self._loop.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _check_server(self, action: CheckServer) -> None:
        outcome = await check_server(action.address, action.path)
        rounds = self._steering.failed_servers.rounds
        self._run_work(lambda now: rounds.handle_check_result(action, outcome, now))

    async def _fetch_changes(self, action: FetchDirectory) -> None:
        try:
            reply = await fetch_directory(action.target, action.after)
        except SourceError as error:
            self._steering.core.counters.record_refusal(ErrorKind.FETCH_FAILED)
            self._log.write(LogEvent.FETCH_FAILED, f'peer={action.target} fault="{error}"')
            return
        self._log.write(
            LogEvent.DIRECTORY_PULLED,
            f'peer={action.target} after={action.after.revision} after_era={action.after.era} '
            f'revision={reply.revision} era={reply.era}',
        )
        sync = self._steering.directory_sync
        self._run_work(lambda now: sync.apply_fetched_changes(reply, action, now))

    def _ready_page(self) -> tuple[HTTPStatus, str]:
        if self._steering.is_ready:
            return HTTPStatus.OK, 'ready\n'
        return HTTPStatus.SERVICE_UNAVAILABLE, 'not ready\n'

    def _metrics_page(self) -> tuple[HTTPStatus, str]:
        # Importing the metrics library takes long, and a starting process is needed at once.
        from berylstair.steering_metrics import render_steering_metrics

        return HTTPStatus.OK, render_steering_metrics(self._steering, boot_clock())


class SteeringActor(pykka.ThreadingActor):
    """Runs the loop on the actor's thread."""

    use_daemon_thread = True

    def __init__(self, loop: SteeringLoop) -> None:
        """Stores the loop, which starts on the message ``Serve``."""
        super().__init__()
        self._loop = loop

    def on_receive(self, message: Any) -> None:
        """Runs the loop until the planned stop is complete."""
        if isinstance(message, Serve):
            self._loop.run()
