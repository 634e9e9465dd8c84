"""Settings of an instance that steers flows with direct server return."""

from dataclasses import dataclass

from berylstair.ids import Endpoint, InstanceId, ZoneId

__all__ = ['Capacity', 'SteeringSettings', 'TimeLimits']

# Processor time and bytes that a decision for another instance costs, both ways.
PLACEMENT_CPU_S = 0.0003
PLACEMENT_BYTES = 400
BYTES_PER_MBIT = 125_000


@dataclass(frozen=True, slots=True)
class Capacity:
    """What the machine gives the process.

    Attributes:
        cores: Processor time a second, in seconds of one core.
        link_mbps: Bandwidth of the machine's own link, in Mbit/s.
    """

    cores: float
    link_mbps: float

    @property
    def placements_per_s(self) -> int:
        """New flows a second that the machine could decide on, one at least."""
        by_link = self.link_mbps * BYTES_PER_MBIT / PLACEMENT_BYTES
        return max(round(min(self.cores / PLACEMENT_CPU_S, by_link)), 1)


@dataclass(frozen=True, slots=True)
class TimeLimits:
    """Times within which the operator expects things to hold, in seconds.

    Attributes:
        drain_s: Until a leaving server gets no new flow.
        apply_s: Until a configuration is in force.
        stop_s: From the request to stop until the process is killed.
        max_flow_s: Age at which a flow may be discarded.
        lapse_s: Silence after which a server's entry lapses; a source that
            was away for less has lost none.
    """

    drain_s: float
    config_apply_s: float
    stop_grace_s: float
    max_flow_s: float
    entry_expiry_s: float


@dataclass(frozen=True, slots=True)
class SteeringSettings:
    """Settings of one process.

    Attributes:
        zones: All availability zones.
        packets: Where the fabric hands over callers' packets (UDP).
        caller_port: Port at which callers take packets.
        ready: Where the fabric asks whether this instance is ready (HTTP).
        peer: Where other instances reach this one, UDP and TCP.
        metrics: Where metrics are served (HTTP).
        seeds: Instances to find the others through; may be stale or down.
        source: Configuration service (HTTP).
    """

    instance: InstanceId
    zone: ZoneId
    zones: tuple[ZoneId, ...]
    packet_endpoint: Endpoint
    caller_port: int
    readiness_endpoint: Endpoint
    peer_endpoint: Endpoint
    metrics_endpoint: Endpoint
    seeds: tuple[Endpoint, ...]
    source_endpoint: Endpoint
    capacity: Capacity
    time_limits: TimeLimits
