"""Observations of a soak run and the promises that it broke."""

from collections import Counter
from dataclasses import dataclass, field
from enum import Enum, unique

__all__ = ['Finding', 'Promise', 'RequestOutcome', 'RunObservations']


@unique
class Promise(Enum):
    """Properties that must hold in every run, from the promises and the users' rules."""

    ONCE = 'a request runs at most once'
    NOT_RUN = 'a flow that was refused has run nothing'
    OWN_ANSWER = 'a caller gets the answer to its own request'
    RIGHT_SERVICE = 'a packet meant for one service never reaches another'
    OPEN_FLOW = 'an open flow is neither reset nor moved to another server'
    LEAVING = 'a leaving server gets no new flow'
    EVACUATION = 'no opening segment reaches an evacuated zone'
    CONFIGURATION = 'a configuration is in force everywhere in time and never reverts'
    PLANNED_STOP = 'a planned stop ends cleanly in time'
    ALIVE = 'no instance ends by itself'
    RECOVERY = 'all requests are answered after the faults have ended'


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
    """A violation of a promise.

    Attributes:
        at_s: Time of detection, in seconds since the start of the run.
    """

    promise: Promise
    at_s: float
    detail: str

    def __str__(self) -> str:
        """Returns the finding as one line of text."""
        return f't={self.at_s:.2f} {self.promise.name.lower()}: {self.detail}'


@dataclass(slots=True)
class RunObservations:
    """Requests, their executions and findings of one soak run.

    Attributes:
        outcome_counts: Number of requests by outcome.
        runs_by_request: How often each request was run at backend servers.
        refused_requests: Requests whose flow was reset before it opened.
        open_flows: Flows whose handshake is complete at a server.
    """

    outcome_counts: Counter[RequestOutcome] = field(default_factory=Counter)
    runs_by_request: Counter[int] = field(default_factory=Counter)
    refused_requests: set[int] = field(default_factory=set)
    open_flows: set[tuple[int, int, int, int]] = field(default_factory=set)
    findings: list[Finding] = field(default_factory=list)

    def add_finding(self, promise: Promise, at_s: float, detail: str) -> None:
        """Records a broken promise."""
        self.findings.append(Finding(promise, at_s, detail))

    def check_request_runs(self, at_s: float) -> None:
        """Checks at the end of the run how often each request ran."""
        for request, runs in self.runs_by_request.items():
            if runs > 1:
                self.add_finding(Promise.ONCE, at_s, f'request={request} runs={runs}')
            if runs and request in self.refused_requests:
                self.add_finding(Promise.NOT_RUN, at_s, f'request={request}')
