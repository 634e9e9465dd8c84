"""What a run has seen, and the promises that were broken."""

from collections import Counter
from dataclasses import dataclass, field
from enum import Enum, unique

__all__ = ['Finding', 'Promise', 'RequestOutcome', 'RunObservations']


@unique
class Promise(Enum):
    """What must always hold, as in shared/PROMISES and the users' rules."""

    ONCE = 'a request runs at most once'
    NOT_RUN = 'a flow that was refused has run nothing'
    OWN_ANSWER = 'a caller gets the answer to its own request'
    RIGHT_SERVICE = 'a packet meant for one service never reaches another'
    OPEN_FLOW = 'an open flow is neither reset nor led to another server'
    LEAVING = 'a leaving server gets no new flow'
    CONFIGURATION = 'a configuration is in force everywhere in time and never reverts'
    PLANNED_STOP = 'a planned stop ends cleanly in time'
    ALIVE = 'no instance ends by itself'
    RECOVERY = 'all is served once the faults are over'


@unique
class RequestOutcome(Enum):
    """How a caller's request ended."""

    ANSWERED = 'answered'
    REFUSED = 'refused'
    NOT_OPENED = 'not_opened'
    SERVER_RESET = 'server_reset'
    SILENT = 'silent'


@dataclass(frozen=True, slots=True)
class Finding:
    """A broken promise."""

    promise: Promise
    at_s: float
    detail: str

    def __str__(self) -> str:
        """Returns one line."""
        return f't={self.at_s:.2f} {self.promise.name.lower()}: {self.detail}'


@dataclass(slots=True)
class RunObservations:
    """Requests, runs and findings of one run.

    Attributes:
        runs_by_request: How often each request ran.
        refused: Requests whose flow was reset before it opened.
    """

    outcome_counts: Counter[RequestOutcome] = field(default_factory=Counter)
    runs_by_request: Counter[int] = field(default_factory=Counter)
    refused_requests: set[int] = field(default_factory=set)
    findings: list[Finding] = field(default_factory=list)

    def add_finding(self, promise: Promise, at_s: float, detail: str) -> None:
        """Notes a broken promise."""
        self.findings.append(Finding(promise, at_s, detail))

    def check_request_runs(self, at_s: float) -> None:
        """Checks what can only be told at the end."""
        for request, runs in self.runs_by_request.items():
            if runs > 1:
                self.add_finding(Promise.ONCE, at_s, f'request={request} runs={runs}')
            if runs and request in self.refused_requests:
                self.add_finding(Promise.NOT_RUN, at_s, f'request={request}')
