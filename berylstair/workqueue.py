"""Queue of the requests of one service that wait for a slot."""

from collections import deque

from berylstair.record import WorkClass
from berylstair.request import Request, Stage

__all__ = ['WorkQueue']

_TURNS_PER_LONG_REQUEST = 4


class WorkQueue:
    """Three queues: pinned requests, short work, long work.

    Pinned requests continue a block-wise transfer and are bound to its backend
    server. Short work goes before long work, but every fourth request taken is
    a long one if any waits, so that neither class starves the other.
    """

    def __init__(self) -> None:
        """Sets up the empty queues."""
        self.pinned_requests: deque[Request] = deque()
        self._queue_by_class: dict[WorkClass, deque[Request]] = {
            work: deque() for work in WorkClass
        }
        self._pop_count = 0

    def __len__(self) -> int:
        """Returns the number of waiting requests."""
        return len(self.pinned_requests) + sum(
            len(queue) for queue in self._queue_by_class.values()
        )

    def waiting_count(self, work_class: WorkClass) -> int:
        """Returns how many requests of a class wait, pinned ones excluded."""
        return len(self._queue_by_class[work_class])

    def add(self, request: Request, is_first: bool = False) -> None:
        """Appends a request to its queue, or puts it at the front if ``is_first``."""
        queue = (
            self.pinned_requests
            if request.pinned_backend
            else self._queue_by_class[request.work_class]
        )
        if is_first:
            queue.appendleft(request)
        else:
            queue.append(request)

    def pop_pinned(self) -> list[Request]:
        """Removes all pinned requests and returns those that still wait."""
        taken = [request for request in self.pinned_requests if request.stage is Stage.QUEUED]
        self.pinned_requests.clear()
        return taken

    def peek(self, blocked_classes: set[WorkClass]) -> Request | None:
        """Returns the next request whose class is not blocked, None without one."""
        for work_class in self._class_order():
            queue = self._queue_by_class[work_class]
            while queue and queue[0].stage is not Stage.QUEUED:
                queue.popleft()
            if queue and work_class not in blocked_classes:
                return queue[0]
        return None

    def pop(self, request: Request) -> None:
        """Removes the request that ``peek`` returned."""
        self._queue_by_class[request.work_class].popleft()
        self._pop_count += 1

    def _class_order(self) -> tuple[WorkClass, WorkClass]:
        if self._pop_count % _TURNS_PER_LONG_REQUEST == _TURNS_PER_LONG_REQUEST - 1:
            return (WorkClass.LONG, WorkClass.SHORT)
        return (WorkClass.SHORT, WorkClass.LONG)
