"""Processor time, memory and control traffic of running instances."""

import os
import signal
import time
from dataclasses import dataclass
from pathlib import Path

from emulator.cluster import Cluster

__all__ = ['ResourceUsage', 'UsageMeter', 'handles_signal', 'process_cpu_s', 'resident_memory_mb']

_CLOCK_TICKS_PER_S = os.sysconf('SC_CLK_TCK')


def process_cpu_s(pid: int) -> float:
    """Returns the processor time that a process has used, in seconds."""
    fields = Path(f'/proc/{pid}/stat').read_text(encoding='utf-8').rsplit(')', 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / _CLOCK_TICKS_PER_S


def resident_memory_mb(pid: int) -> float:
    """Returns the resident memory of a process in MiB, 0 if it has none."""
    for line in Path(f'/proc/{pid}/status').read_text(encoding='utf-8').splitlines():
        if line.startswith('VmRSS'):
            return int(line.split()[1]) / 1024
    return 0.0


def handles_signal(pid: int, signal_number: signal.Signals) -> bool:
    """Returns whether a running process has installed a handler for a signal."""
    lines = Path(f'/proc/{pid}/status').read_text(encoding='utf-8').splitlines()
    handled_masks = [line.split()[1] for line in lines if line.startswith('SigCgt')]
    return bool(handled_masks) and bool(int(handled_masks[0], 16) >> (signal_number - 1) & 1)


@dataclass(frozen=True, slots=True)
class ResourceUsage:
    """Resource use of the instances, one list element each; memory in MiB."""

    cores_used: list[float]
    control_bytes_per_s: list[float]
    control_messages_per_s: list[float]
    memory_mb: list[float]


class UsageMeter:
    """Measures the resource use of all instances since its construction."""

    def __init__(self, cluster: Cluster) -> None:
        """Takes the first sample."""
        self._cluster = cluster
        self._started_at = time.monotonic()
        self._first_sample = self._take_sample()

    def measure(self) -> ResourceUsage:
        """Returns the averages since the construction, and the current memory."""
        seconds = time.monotonic() - self._started_at
        pairs = list(zip(self._take_sample(), self._first_sample, strict=True))
        return ResourceUsage(
            [(last[0] - first[0]) / seconds for last, first in pairs],
            [(last[1] - first[1]) / seconds for last, first in pairs],
            [(last[2] - first[2]) / seconds for last, first in pairs],
            [resident_memory_mb(pid) for pid in self._pids()],
        )

    def _pids(self) -> list[int]:
        return [instance.process.pid for instance in self._cluster.instance_by_name.values()]

    def _take_sample(self) -> list[tuple[float, int, int]]:
        traffic = [status['traffic'] for status in self._cluster.statuses()]
        return [
            (process_cpu_s(pid), counts.get('control_bytes', 0), counts.get('control_messages', 0))
            for pid, counts in zip(self._pids(), traffic, strict=True)
        ]
