"""Planned stop of an instance."""

from dataclasses import dataclass

from berylstair.action import Stopped
from berylstair.catalogue import LogEvent
from berylstair.core import Core
from berylstair.ids import InstanceId
from berylstair.intake import RequestIntake
from berylstair.message import HandoverAck, ResponseHandover
from berylstair.request import RequestTable
from berylstair.roles import WitnessRoles
from berylstair.router import Rehoming

__all__ = ['DrainTargets', 'PlannedStop']

_PROGRESS_CHECK_INTERVAL_S = 0.1
_MIN_STOP_DURATION_S = 0.5
_QUIET_PERIOD_S = 1.0
_ACK_TIMEOUT_S = 2.0


@dataclass(frozen=True, slots=True)
class DrainTargets:
    """Components whose work must be finished or handed over before a stop."""

    request_table: RequestTable
    request_intake: RequestIntake
    rehoming: Rehoming
    witness_roles: WitnessRoles


class PlannedStop:
    """Stops an instance without aborting a request or losing a binding.

    A stop that reaches the drain limit ends even if requests are unfinished.
    """

    def __init__(self, core: Core, drain_targets: DrainTargets) -> None:
        """Sets up a stop of the given components; it is not requested yet."""
        self._core = core
        self._drain_targets = drain_targets
        self._started_at: float | None = None
        self._last_packet_at = 0.0
        self._last_handover_id = 0
        self._peer_by_open_handover_id: dict[int, InstanceId] = {}
        self._responses_sent_at: float | None = None

    def start(self, now: float) -> bool:
        """Begins the stop.

        Args:
            now: Current time in seconds.

        Returns:
            False if the stop had begun before; the call then has no effect.
        """
        if self._started_at is not None:
            return False
        self._started_at = now
        core = self._core
        core.log(LogEvent.STOP_REQUESTED, '')
        core.membership.is_leaving = True
        core.membership.update_liveness(now)
        core.timers.schedule(now + _PROGRESS_CHECK_INTERVAL_S, self._check_progress)
        return True

    def record_packet(self, now: float) -> None:
        """Records that the fabric still sends packets to this instance."""
        self._last_packet_at = now

    def start_handover(self, peer: InstanceId) -> int:
        """Registers a handover of bindings to a peer.

        Returns:
            Id that the peer has to acknowledge, or 0 while no stop is in
            progress, which needs no acknowledgement.
        """
        if self._started_at is None:
            return 0
        self._last_handover_id += 1
        self._peer_by_open_handover_id[self._last_handover_id] = peer
        return self._last_handover_id

    def handle_handover_ack(self, peer: InstanceId, message: HandoverAck, now: float) -> None:
        """Marks a handover as acknowledged."""
        self._peer_by_open_handover_id.pop(message.handover_id, None)

    def _check_progress(self, now: float) -> None:
        core = self._core
        started_at = self._started_at or now
        if now - started_at >= core.settings.drain_limit_s:
            core.log(LogEvent.STOP_LIMIT_REACHED, f'unfinished={self._unfinished_requests}')
            core.actions.append(Stopped())
        elif self._is_drained(started_at, now):
            core.log(LogEvent.STOPPED, '')
            core.actions.append(Stopped())
        else:
            core.timers.schedule(now + _PROGRESS_CHECK_INTERVAL_S, self._check_progress)

    @property
    def _unfinished_requests(self) -> int:
        return self._drain_targets.request_table.unfinished_count

    def _is_drained(self, started_at: float, now: float) -> bool:
        linger_s = self._core.settings.linger_s
        is_quiet = now - self._last_packet_at >= _QUIET_PERIOD_S or now - started_at >= linger_s
        if self._unfinished_requests or not self._drain_targets.rehoming.is_done:
            return False
        if now - started_at < _MIN_STOP_DURATION_S or not is_quiet:
            return False
        if self._responses_sent_at is None:
            self._responses_sent_at = now
            self._send_response_handovers(now)
        self._drain_targets.witness_roles.offer_all_roles()
        is_overdue = now - self._responses_sent_at >= _ACK_TIMEOUT_S
        is_handed_over = (
            not self._peer_by_open_handover_id
            and not self._drain_targets.witness_roles.witness_by_owner
        )
        return is_overdue or is_handed_over

    def _send_response_handovers(self, now: float) -> None:
        for peer, rows in self._drain_targets.request_intake.handover_batches(now):
            self._last_handover_id += 1
            self._peer_by_open_handover_id[self._last_handover_id] = peer
            self._core.send(peer, ResponseHandover(self._last_handover_id, rows))
