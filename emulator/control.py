"""Command loop of an emulator process: JSON lines on standard input and output."""

import asyncio
import json
import sys
from collections.abc import Callable
from typing import Any

__all__ = ['CommandHandlers', 'run_commands']

CommandHandlers = dict[str, Callable[[dict[str, Any]], Any]]


async def run_commands(handlers: CommandHandlers) -> None:
    """Handles commands until standard input closes.

    Each line is ``{"command": NAME, ...}`` and is answered with one line of
    JSON, ``{"result": ...}``. The first line written is ``{"ready": true}``.

    Args:
        handlers: Function or coroutine function by command name.
    """
    loop = asyncio.get_running_loop()
    reader = asyncio.StreamReader(limit=1 << 24)
    await loop.connect_read_pipe(lambda: asyncio.StreamReaderProtocol(reader), sys.stdin)
    _write_reply({'ready': True})
    async for line in reader:
        message = json.loads(line)
        result = handlers[message['command']](message)
        _write_reply({'result': await result if asyncio.iscoroutine(result) else result})


def _write_reply(reply: dict[str, Any]) -> None:
    sys.stdout.write(f'{json.dumps(reply)}\n')
    sys.stdout.flush()
