"""Settings of an instance that steers flows with direct server return."""

import math
from dataclasses import dataclass, replace

from berylstair.ids import Endpoint, InstanceId, ZoneId

__all__ = ['Capacity', 'ColdLimit', 'SteeringSettings', 'TimeLimits']

# Processor time and bytes, request and reply together, of a placement that is decided
# for another instance.
PLACEMENT_CPU_S = 0.0003
PLACEMENT_BYTES = 400
BYTES_PER_MBIT = 125_000


@dataclass(frozen=True, slots=True)
class Capacity:
    """Resources that the machine gives the process.

    Attributes:
        cores: Processor time per second, in seconds of one core.
        link_mbps: Bandwidth of the machine's own link, in Mbit/s.
    """

    cores: float
    link_mbps: float

    @property
    def placements_per_s(self) -> int:
        """Placements of new flows per second that the machine could decide, at least one."""
        link_placements_per_s = self.link_mbps * BYTES_PER_MBIT / PLACEMENT_BYTES
        return max(round(min(self.cores / PLACEMENT_CPU_S, link_placements_per_s)), 1)


@dataclass(frozen=True, slots=True)
class TimeLimits:
    """Time limits set by the operator, in seconds.

    Attributes:
        drain_s: Time within which a leaving server must get no more new flows.
        config_apply_s: Time within which a published configuration must be in force.
        stop_grace_s: From the request to stop until the process is killed.
        max_flow_s: Age at which a flow may be discarded.
        entry_expiry_s: Silence after which a server's entry expires; a source that
            was unavailable for less time has lost no entry.
        evacuation_s: Time within which the servers of an evacuated zone must get no
            more new flows; None if the operator states no limit.
    """

    drain_s: float
    config_apply_s: float
    stop_grace_s: float
    max_flow_s: float
    entry_expiry_s: float
    evacuation_s: float | None = None

    @property
    def propagation_s(self) -> float:
        """Time within which any change of the directory must be in force."""
        stated = (self.drain_s, self.config_apply_s, self.evacuation_s)
        return min(limit_s for limit_s in stated if limit_s is not None)


@dataclass(frozen=True, slots=True)
class ColdLimit:
    """Bound set by the operator on the opening segments that a cold server gets.

    Attributes:
        ratio: Opening segments relative to the requests that a cold server can handle.
        slack: Opening segments per second beyond these.
    """

    ratio: float
    slack: float

    def segments_per_s(self, requests_per_s: float) -> int:
        """Returns the opening segments that a cold server may get in any sliding second.

        Args:
            requests_per_s: Requests per second that the server can handle while cold.
        """
        return math.floor(requests_per_s * self.ratio + self.slack)


@dataclass(frozen=True, slots=True)
class SteeringSettings:
    """Settings of one process.

    Attributes:
        zones: All availability zones.
        packet_endpoint: Where the fabric delivers callers' packets (UDP).
        caller_port: Port at which callers receive packets.
        readiness_endpoint: Where the fabric checks whether this instance is ready
            (HTTP).
        peer_endpoint: Where other instances reach this one (UDP and TCP).
        metrics_endpoint: Where metrics are served (HTTP).
        seeds: Instances through which the others are found; may be outdated or down.
        source_endpoint: Configuration service that the directory is read from (HTTP).
        cold_limit: Bound for cold servers, None if the operator sets none.
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
    cold_limit: ColdLimit | None = None

    def with_reloadable_from(self, changed: 'SteeringSettings') -> 'SteeringSettings':
        """Returns these settings with what may change in a running process.

        Args:
            changed: Settings read again; only seeds and bounds are taken from them.
        """
        return replace(
            self,
            seeds=changed.seeds,
            time_limits=changed.time_limits,
            cold_limit=changed.cold_limit,
        )
