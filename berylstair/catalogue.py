"""Numbers of the log events; ``docs/EVENTS.md`` explains them."""

from enum import IntEnum, unique

__all__ = ['LogEvent']


@unique
class LogEvent(IntEnum):
    """Event numbers: 1xx process, 2xx records, 3xx peers, 4xx traffic."""

    STARTED = 101
    STOP_REQUESTED = 102
    STOPPED = 103
    STOP_LIMIT_REACHED = 104
    PAUSED = 105
    SETTINGS_REFUSED = 106
    INTERNAL_FAULT = 107
    RECORD_ADOPTED = 201
    RECORD_REFUSED = 202
    RECORD_CONFLICT = 203
    SOURCE_LOST = 204
    SOURCE_BACK = 205
    ADDRESS_HELD = 206
    VIEW_EXPIRED = 207
    PEER_ALIVE = 301
    PEER_LOST = 302
    PEER_RESTARTED = 303
    PEER_REFUSED = 304
    MESSAGE_REFUSED = 305
    BACKEND_EJECTED = 401
    REHOMING = 403
    HANDOVER_SENT = 404
    ROLE_TAKEN = 405
    FLOW_PLACED = 406
    FLOW_WAITING = 407
    FLOW_REFUSED = 408
    FLOW_ENDED = 409
    OFFER_UNANSWERED = 410
    DISPATCHER_SILENT = 411
    LOAD_COUNTED = 412
    CALLER_GONE = 413
    LINES_DROPPED = 108
    DIRECTORY_PULLED = 208
    SETTINGS_RELOADED = 109
    NOW_READY = 110
