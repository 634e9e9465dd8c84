"""Writes numbered events through absl's logging."""

from absl import logging

from berylstair.catalogue import LogEvent

__all__ = ['write_event']


_WARNING_EVENTS = frozenset(
    (
        LogEvent.STOP_LIMIT_REACHED,
        LogEvent.PAUSED,
        LogEvent.SETTINGS_REFUSED,
        LogEvent.INTERNAL_FAULT,
        LogEvent.RECORD_REFUSED,
        LogEvent.RECORD_CONFLICT,
        LogEvent.SOURCE_LOST,
        LogEvent.VIEW_EXPIRED,
        LogEvent.DIRECTORY_STALE,
        LogEvent.ENTRY_REFUSED,
        LogEvent.FETCH_FAILED,
        LogEvent.PEER_LOST,
        LogEvent.PEER_REFUSED,
        LogEvent.MESSAGE_REFUSED,
        LogEvent.BACKEND_EJECTED,
        LogEvent.SERVER_SET_ASIDE,
    ),
)


def write_event(event_number: int, detail: str) -> None:
    """Writes one event.

    Args:
        event_number: Value of a ``LogEvent``.
        detail: Text that follows the event name.
    """
    event = LogEvent(event_number)
    write = logging.warning if event in _WARNING_EVENTS else logging.info
    write('E%d %s %s', event.value, event.name.lower(), detail)
