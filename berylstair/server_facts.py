"""What an instance knows of a server that may have died."""

from typing import NamedTuple

from berylstair.death_register import DeathRegister
from berylstair.directory import ServerRegistration
from berylstair.flowtrack import TrackedFlow
from berylstair.ids import InstanceId
from berylstair.server_death import EntryMark, ServerLifetime
from berylstair.stall_report import StallTracker
from berylstair.steering_core import SteeringCore

__all__ = ['CheckPlace', 'ServerFacts']


class CheckPlace(NamedTuple):
    """Where a server is checked."""

    registration: ServerRegistration
    path: str


class ServerFacts:
    """Looks servers up in the directory, the lease table and the observed flows.

    Only servers of services whose configuration states a path for liveness checks are known.
    """

    def __init__(self, core: SteeringCore, tracker: StallTracker, register: DeathRegister) -> None:
        """Creates a view of the state of a steering core.

        Args:
            core: Provides directory, fleet and leases.
            tracker: Provides the progress of flows.
            register: Provides the verdicts.
        """
        self._core = core
        self._tracker = tracker
        self._register = register

    def find_active(self, flow: TrackedFlow) -> ServerLifetime | None:
        """Returns the server of a flow, None unless it is known and may be checked."""
        if flow.server is None or not flow.is_server_confirmed:
            return None
        registration = self._core.directory.find_server(flow.server.id)
        if registration is None or not self._find_path(registration):
            return None
        return ServerLifetime(flow.server.id, registration.started_at_ms)

    def find_registration(self, server: ServerLifetime) -> ServerRegistration | None:
        """Returns the entry of a lifetime of a server; None of any other one."""
        registration = self._core.directory.find_server(server.backend)
        if registration is None or registration.started_at_ms != server.started_at_ms:
            return None
        return registration if self._find_path(registration) else None

    def find_check_place(self, server: ServerLifetime) -> CheckPlace | None:
        """Returns where a server can be checked, None if a check would prove nothing.

        Its address may belong to another server by now, and a server that drains may
        accept no more connections.
        """
        registration = self.find_registration(server)
        if registration is None:
            return None
        if not registration.server.is_accepting and not self.is_removed(server):
            return None
        address = registration.server.address
        if self._core.directory.addresses.is_of_another(server.backend, address):
            return None
        return CheckPlace(registration, self._find_path(registration))

    def find_dispatcher(self, server: ServerLifetime, now: float) -> InstanceId | None:
        """Returns the instance that decides on a server, None if the server is not known."""
        registration = self.find_registration(server)
        return self._core.fleet.find_dispatcher(registration.service, now) if registration else None

    def is_dispatched_here(self, server: ServerLifetime, now: float) -> bool:
        """Returns whether this instance decides on a server."""
        return self.find_dispatcher(server, now) == self._core.fleet.own_id

    def is_known(self, server: ServerLifetime) -> bool:
        """Returns whether this lifetime of a server is the newest one known."""
        return self.find_registration(server) is not None

    def is_removed(self, server: ServerLifetime) -> bool:
        """Returns whether a server's entry was removed."""
        return self._core.directory.removed_at(server.backend) is not None

    def is_presumed_dead(self, server: ServerLifetime, now: float) -> bool:
        """Returns whether a server was found dead before, or its entry is gone for certain.

        The directory must have been confirmed since the removal, and recently. The grace
        period after an outage or a restore of the store must be over.
        """
        if self._register.is_marked(server):
            return True
        directory = self._core.directory
        removed_at = directory.removed_at(server.backend)
        confirmed_at = self._core.fleet.membership.confirmed_at
        if removed_at is None or confirmed_at is None or not directory.is_gone(server.backend, now):
            return False
        is_fresh = now - confirmed_at <= self._core.settings.time_limits.propagation_s
        return confirmed_at > removed_at and is_fresh

    def entry_mark(self, server: ServerLifetime) -> EntryMark:
        """Returns the present state of a server's entry."""
        registration = self._core.directory.find_server(server.backend)
        return EntryMark(registration.sequence if registration else 0, self.is_removed(server))

    def progress_at(self, server: ServerLifetime) -> float:
        """Returns when a flow of a server last showed here that the server was alive."""
        registration = self.find_registration(server)
        if registration is None:
            return self._tracker.progress_at(server)
        table = self._core.assigner.lease_table(registration.service)
        answered_at = table.server_state(server.backend).last_answered_at
        return max(self._tracker.progress_at(server), answered_at)

    def _find_path(self, registration: ServerRegistration) -> str:
        """Returns what a check of a server requests, empty if its service states nothing."""
        configuration = self._core.directory.configuration
        if configuration is None:
            return ''
        return configuration.health_path_by_service.get(registration.service, '')
