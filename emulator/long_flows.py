"""Callers of a simulation that send many requests on one flow, with pauses between them."""

from dataclasses import dataclass, field

from berylstair.ids import FlowKey
from berylstair.segment import Segment
from emulator.simulation import (
    CALLER_DELAY_S,
    CallerFlow,
    SimulatedServer,
    SimulatedWorld,
)

__all__ = ['LongFlow', 'LongFlows']

# When a caller retransmits a request, and when it gives the request up.
REQUEST_RETRANSMITTED_AT_S = (0.2, 0.6, 1.4, 3.0)
REQUEST_DEADLINE_S = 3.6
REQUEST_BYTES = 100
ANSWER_BYTES = 500
FIRST_SEQUENCE = 1000


@dataclass(slots=True)
class LongFlow:
    """A flow that its caller keeps open.

    Attributes:
        requested_at: When the request was first sent that is unanswered, None without one.
        reset_at: When the caller was reset, None before.
        answered_count: Number of answered requests after the first one of the flow.
        missed_at: Times at which requests were given up.
    """

    flow: CallerFlow
    sequence: int = FIRST_SEQUENCE
    requested_at: float | None = None
    reset_at: float | None = None
    answered_count: int = 0
    missed_at: list[float] = field(default_factory=list)

    def make_request(self) -> Segment:
        """Returns the segment of the caller's next request."""
        flow = self.flow
        return Segment(
            flow.key,
            is_opening=False,
            is_closing=False,
            is_reset=False,
            sequence=self.sequence,
            acknowledged=flow.acknowledged,
            tag=flow.tag,
            data=b'',
            data_length=REQUEST_BYTES,
        )


class LongFlows:
    """The long-lived flows of a simulation.

    Servers answer a request after the work of its flow; an answer may be lost, and a
    retransmission is answered again.
    """

    def __init__(self, world: SimulatedWorld, pause_s: float = 1.0) -> None:
        """Attaches the callers to a simulation.

        Args:
            world: The simulation.
            pause_s: Mean time from an answer to the next request.
        """
        self._world = world
        self._pause_s = pause_s
        self.by_key: dict[FlowKey, LongFlow] = {}
        world.on_request = self._serve
        world.on_reset = self._handle_reset

    def open(self, zone: int = 0, work_s: float = 0.034) -> LongFlow:
        """Opens a flow, on which requests begin half a second later."""
        long_flow = LongFlow(self._world.start_flow(zone, work_s, stays_open=True))
        self.by_key[long_flow.flow.key] = long_flow
        self._world.schedule(0.5, lambda: self._send_next(long_flow))
        return long_flow

    def at_server(self, server: SimulatedServer) -> list[LongFlow]:
        """Returns the flows of one server that are open."""
        backend = server.backend_server.id
        return [
            long_flow
            for long_flow in self.by_key.values()
            if long_flow.flow.backend_id == backend and long_flow.reset_at is None
        ]

    def reset_flows(self) -> list[LongFlow]:
        """Returns the flows that were reset."""
        return [long_flow for long_flow in self.by_key.values() if long_flow.reset_at is not None]

    def _send_next(self, long_flow: LongFlow) -> None:
        if long_flow.flow.outcome != 'answered' or long_flow.reset_at is not None:
            return
        sent_at = self._world.now
        long_flow.requested_at = sent_at
        self._send(long_flow, sent_at)
        for after_s in REQUEST_RETRANSMITTED_AT_S:
            self._world.schedule(after_s, lambda: self._send(long_flow, sent_at))
        self._world.schedule(REQUEST_DEADLINE_S, lambda: self._give_up(long_flow, sent_at))

    def _send(self, long_flow: LongFlow, sent_at: float) -> None:
        if long_flow.requested_at != sent_at or long_flow.reset_at is not None:
            return
        self._world.send_from_caller(long_flow.flow, long_flow.make_request())

    def _give_up(self, long_flow: LongFlow, sent_at: float) -> None:
        if long_flow.requested_at == sent_at and long_flow.reset_at is None:
            long_flow.requested_at = None
            long_flow.missed_at.append(self._world.now)

    def _serve(self, server: SimulatedServer, flow: CallerFlow, segment: Segment) -> None:
        long_flow = self.by_key.get(flow.key)
        if long_flow is not None:
            delay_s = flow.work_s * server.slowness + CALLER_DELAY_S
            self._world.schedule(delay_s, lambda: self._answer(long_flow, server, segment.sequence))

    def _answer(self, long_flow: LongFlow, server: SimulatedServer, sequence: int) -> None:
        is_lost = self._world.rng.random() < self._world.segment_loss_ratio
        is_awaited = long_flow.sequence == sequence and long_flow.requested_at is not None
        if is_lost or server.is_dead or server.is_frozen or not is_awaited:
            return
        long_flow.requested_at = None
        long_flow.answered_count += 1
        long_flow.sequence += REQUEST_BYTES
        flow = long_flow.flow
        flow.acknowledged += ANSWER_BYTES
        self._world.send_from_caller(
            flow,
            Segment(
                flow.key, False, False, False, long_flow.sequence, flow.acknowledged, flow.tag, b''
            ),
        )
        pause_s = self._pause_s * self._world.rng.uniform(0.5, 1.5)
        self._world.schedule(pause_s, lambda: self._send_next(long_flow))

    def _handle_reset(self, flow: CallerFlow) -> None:
        long_flow = self.by_key.get(flow.key)
        if long_flow is not None and long_flow.reset_at is None:
            long_flow.reset_at = self._world.now
