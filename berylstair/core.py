"""State shared by the components of the decision core."""

from collections import defaultdict
from dataclasses import dataclass
from random import Random
from typing import Any, NamedTuple

from berylstair.action import Action, ForwardDatagram, LogEntry, SendToPeer
from berylstair.catalogue import LogEvent
from berylstair.claim import InstanceLists, WitnessPlacement
from berylstair.counter import Counters, Traffic
from berylstair.ids import Endpoint, InstanceId, ServiceName, ZoneId
from berylstair.membership import Membership
from berylstair.message import Message
from berylstair.proxy import HeaderTemplate, Tlv
from berylstair.timer import Timers
from berylstair.view import RecordStore, Service

__all__ = ['MAX_HOPS', 'Batch', 'Core', 'CoreSettings']

MAX_HOPS = 2
NO_WITNESS = InstanceId('')


@dataclass(frozen=True, slots=True)
class CoreSettings:
    """Settings of the decision core.

    Attributes:
        incarnation: Start time of the process, in ms since 1970.
        request_lifetime_s: Longest time, in seconds, within which a copy of a
            request may still arrive; includes the request's deadline.
        max_stale_s: Longest time, in seconds, for which an instance serves
            its last view while neither the platform nor a majority of the
            listed instances confirms it.
        max_flows: Maximum number of flow bindings stored.
        max_requests: Maximum number of requests stored, finished ones
            included, and of grants stored by one witness.
        max_queue: Maximum number of requests queued for one service.
        drain_limit_s: Longest duration of a planned stop, in seconds.
        linger_s: Longest time, in seconds, for which a stopping instance goes
            on forwarding packets because the fabric still sends them.
    """

    instance: InstanceId
    zone: ZoneId
    incarnation: int
    request_lifetime_s: float = 60.0
    max_stale_s: float = 86400.0
    max_flows: int = 400_000
    max_requests: int = 100_000
    max_queue: int = 2000
    drain_limit_s: float = 60.0
    linger_s: float = 5.0


class Batch(NamedTuple):
    """Rows that are sent to one peer in one message."""

    message_type: type[Any]
    peer: InstanceId
    witness: InstanceId
    rows: tuple[Any, ...]


class Core:
    """Records, membership, counters, timers and the actions to carry out.

    Attributes:
        actions: Actions in order, returned to the shell after each event.
    """

    def __init__(
        self,
        settings: CoreSettings,
        witness_placement: WitnessPlacement,
        rng: Random,
        now: float,
    ) -> None:
        """Sets up state without records and peers.

        Args:
            settings: Settings of the core.
            witness_placement: Chooses the witnesses of a request.
            rng: Random generator.
            now: Current time in seconds.
        """
        self.settings = settings
        self.rng = rng
        self.started_at = now
        self.store = RecordStore()
        self.membership = Membership(settings.instance, settings.zone)
        self.instance_lists = InstanceLists(witness_placement, settings.request_lifetime_s)
        self.counters = Counters()
        self.timers = Timers()
        self.actions: list[Action] = []
        self._template_by_route: dict[tuple[ServiceName, Endpoint, int, bool], HeaderTemplate] = {}
        self._rows_by_batch: dict[tuple[type[Any], InstanceId, InstanceId], list[Any]] = (
            defaultdict(list)
        )

    def log(self, event: LogEvent, detail: str) -> None:
        """Adds an action that writes a log line."""
        self.actions.append(LogEntry(event, detail))

    def send(self, peer: InstanceId, message: Message) -> None:
        """Adds an action that sends a message to another instance."""
        self.actions.append(SendToPeer(peer, message))

    def add_row(
        self,
        message_type: type[Any],
        peer: InstanceId,
        row: Any,
        witness: InstanceId = NO_WITNESS,
    ) -> None:
        """Adds a row to the batch that the next flush sends.

        Args:
            message_type: Message that carries the row.
            peer: Receiver.
            row: The row.
            witness: Owner of the witness role that the row is addressed to,
                if it is addressed to one.
        """
        self._rows_by_batch[message_type, peer, witness].append(row)

    def pop_batches(self) -> list[Batch]:
        """Returns the collected rows as batches and clears them."""
        rows_by_batch = self._rows_by_batch
        if rows_by_batch:
            self._rows_by_batch = defaultdict(list)
        return [Batch(*key, tuple(rows)) for key, rows in rows_by_batch.items()]

    def forward(
        self,
        peer: InstanceId,
        service: Service,
        caller: Endpoint,
        address: Endpoint,
        payload: bytes,
        hops: int,
    ) -> None:
        """Forwards a caller's datagram to another instance.

        Does nothing if the other instance is not listed.

        Args:
            peer: Instance to forward to.
            service: Service that this instance assigns the packet to.
            caller: Source of the datagram.
            address: Service address it was sent to.
            payload: The datagram.
            hops: Number of times it has been forwarded already.
        """
        instance = self.store.instance_by_id.get(peer)
        if instance is None:
            return
        header = self.pack_header(service.name, caller, address, hops + 1)
        self.counters.record_traffic(Traffic.FORWARDED_OUT)
        self.actions.append(ForwardDatagram(peer, instance.forward, header + payload))

    def pack_header(
        self,
        name: ServiceName,
        caller: Endpoint,
        address: Endpoint,
        hops: int = 0,
    ) -> bytes:
        """Packs the PROXY protocol header of a packet.

        Args:
            name: Service that this instance assigns the packet to.
            caller: Source of the datagram.
            address: Service address it was sent to.
            hops: Number of times the datagram has been forwarded, this time
                included; 0 towards a backend server.

        Returns:
            The header.
        """
        route = (name, address, hops, ':' in caller.ip)
        template = self._template_by_route.get(route)
        if template is None:
            tlvs: dict[int, bytes] = {Tlv.SERVICE: name.encode()}
            if hops:
                tlvs[Tlv.HOPS] = bytes((hops,))
                tlvs[Tlv.SENDER] = self.settings.instance.encode()
            template = HeaderTemplate(caller, address, tlvs)
            self._template_by_route[route] = template
        return template.fill(caller)
