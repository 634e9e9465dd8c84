"""Load generator: open-loop streams of requests, and packet floods."""

import asyncio
import time
from collections import Counter
from dataclasses import dataclass, field
from random import Random
from typing import Any

from aiocoap.numbers.codes import Code

from berylstair.ids import Endpoint, parse_endpoint
from berylstair.proxy import HeaderTemplate
from emulator.caller import CoapCaller, RequestResult
from emulator.udp import UdpSocket

__all__ = ['PacketFlood', 'run_load']

ACK_TIMEOUT_S = 2.0
CALLERS = 32
_MS_PER_S = 1000


@dataclass(slots=True)
class _StreamOutcomes:
    """Outcomes of the requests of one stream, or of several with the same name."""

    offered_count: int = 0
    in_deadline_count: int = 0
    latencies_ms: list[float] = field(default_factory=list)
    count_by_code: Counter[str] = field(default_factory=Counter)

    def record(self, answer: RequestResult, deadline_s: float) -> None:
        """Counts the outcome of one request."""
        if answer.is_success:
            self.latencies_ms.append(answer.latency_s * _MS_PER_S)
            self.in_deadline_count += answer.latency_s <= deadline_s
        self.count_by_code[str(answer.code)] += 1

    def report(self) -> dict[str, Any]:
        """Returns the outcomes in a form that can be written as JSON."""
        return {
            'offered': self.offered_count,
            'in_deadline': self.in_deadline_count,
            'outcomes': dict(self.count_by_code),
            'latencies_ms': [round(latency, 2) for latency in self.latencies_ms],
        }


async def run_load(message: dict[str, Any]) -> dict[str, Any]:
    """Sends streams of requests with Poisson arrivals.

    Args:
        message: ``streams``, a list of streams with name, address, method,
            path, rate (1/s), start_s and seconds; ``deadline_s``; ``seed``.

    Returns:
        Outcomes by name of the stream.
    """
    outcomes_by_name: dict[str, _StreamOutcomes] = {}
    rng = Random(message['seed'])
    callers = [CoapCaller(Random(rng.random()), ACK_TIMEOUT_S) for _ in range(CALLERS)]
    streams = [
        _run_stream(
            stream, outcomes_by_name.setdefault(stream['name'], _StreamOutcomes()), callers, message
        )
        for stream in message['streams']
    ]
    await asyncio.gather(*streams)
    for caller in callers:
        caller.close()
    return {name: outcomes.report() for name, outcomes in outcomes_by_name.items()}


async def _run_stream(
    stream: dict[str, Any],
    outcomes: _StreamOutcomes,
    callers: list[CoapCaller],
    message: dict[str, Any],
) -> None:
    rng = Random(f'{message["seed"]}/{stream["name"]}/{stream.get("start_s", 0)}')
    deadline_s = message['deadline_s']
    code = Code[stream['method']]
    tasks: list[asyncio.Task[None]] = []

    async def send_request(number: int) -> None:
        start_s = stream.get('start_s', 0)
        body = f'{message["seed"]}-{stream["name"]}-{start_s}-{number}'.encode()
        caller = rng.choice(callers)
        answer = await caller.send_request(
            stream['address'], code, stream['path'], body, deadline_s * 2
        )
        outcomes.record(answer, deadline_s)

    started_at = time.monotonic() + stream.get('start_s', 0)
    next_send_at = started_at
    number = 0
    while next_send_at < started_at + stream['seconds']:
        await asyncio.sleep(max(next_send_at - time.monotonic(), 0))
        outcomes.offered_count += 1
        number += 1
        tasks.append(asyncio.create_task(send_request(number)))
        next_send_at += rng.expovariate(stream['rate'])
    await asyncio.gather(*tasks)


class PacketFlood:
    """Sends encapsulated packets of many flows directly to an instance."""

    def __init__(self, target: str, address: str, relay: str) -> None:
        """Binds the relay endpoint in place of the fabric.

        Args:
            target: Endpoint where the instance receives packets of the fabric.
            address: Service address in the encapsulation headers.
            relay: Endpoint where responses of the instance arrive.
        """
        self._target = parse_endpoint(target)
        self._template = HeaderTemplate(
            parse_endpoint('10.9.0.1:1024'),
            parse_endpoint(address),
            {},
        )
        self.returned_count = 0
        self._relay_socket = UdpSocket(parse_endpoint(relay), self._count_returned)

    async def send_packets(
        self, flow_numbers: range, packet_count: int, packets_per_s: float, payload: bytes
    ) -> int:
        """Sends packets at a steady rate, cycling through the flows.

        Args:
            flow_numbers: Numbers of the flows, one caller endpoint each.
            packet_count: Number of packets to send.
            packets_per_s: Packets per second.
            payload: Content of each packet.

        Returns:
            The number of packets sent.
        """
        started_at = time.monotonic()
        sent_count = 0
        while sent_count < packet_count:
            due_count = min(int((time.monotonic() - started_at) * packets_per_s) + 1, packet_count)
            for number in range(sent_count, due_count):
                flow = flow_numbers[number % len(flow_numbers)]
                port = 1024 + flow % 60_000
                caller = Endpoint(f'10.9.{flow // 60_000}.1', port)
                self._relay_socket.send(self._template.fill(caller) + payload, self._target)
            sent_count = due_count
            await asyncio.sleep(0.001)
        return sent_count

    def _count_returned(self, datagram: bytes, source: Endpoint) -> None:
        self.returned_count += 1
