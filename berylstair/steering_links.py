"""Streams of a steering instance: the directory for peers, readiness, metrics."""

import asyncio
from collections.abc import Callable
from http import HTTPStatus

from websockets.asyncio.client import connect
from websockets.asyncio.server import ServerConnection, serve
from websockets.exceptions import WebSocketException
from websockets.http11 import Request, Response

from berylstair.errors import DecodeError
from berylstair.ids import Endpoint
from berylstair.steering_message import STEERING_CODEC, DirectoryReply, DirectoryRequest

__all__ = ['fetch_directory', 'serve_directory', 'serve_page']

# A peer in reach answers within milliseconds; a silent one is given up.
FETCH_TIMEOUT_S = 1.0
# A configuration of 1,600 routes has 250 KB; a dozen fetches of it at once take
# seconds on a link of 10 Mbit/s. It shrinks to less than a tenth.
COMPRESSION = 'deflate'
MAX_MESSAGE_BYTES = 16 << 20

PageRenderer = Callable[[], tuple[HTTPStatus, str]]


async def serve_page(listen: Endpoint, page: PageRenderer) -> None:
    """Answers every GET at an address with a page.

    Args:
        listen: Where to listen.
        page: Returns status and text.
    """

    def respond(connection: ServerConnection, _request: Request) -> Response:
        status, text = page()
        return connection.respond(status, text)

    await serve(
        _close_connection,
        listen.ip,
        listen.port,
        process_request=respond,
        ping_interval=None,
        logger=None,
    )


async def serve_directory(listen: Endpoint, changes_after: Callable[[int], DirectoryReply]) -> None:
    """Lets peers fetch the directory.

    Args:
        listen: Where to listen.
        changes_after: Returns the changes after a revision.
    """

    async def handle_request(connection: ServerConnection) -> None:
        try:
            data = await asyncio.wait_for(connection.recv(), FETCH_TIMEOUT_S)
            request = STEERING_CODEC.decode(data if isinstance(data, bytes) else b'')
            if isinstance(request, DirectoryRequest):
                await connection.send(STEERING_CODEC.encode(changes_after(request.after_revision)))
        except (WebSocketException, OSError, DecodeError, TimeoutError):
            # The peer asks again, or somebody else, at the next beacon.
            return

    await serve(
        handle_request,
        listen.ip,
        listen.port,
        compression=COMPRESSION,
        ping_interval=None,
        max_size=MAX_MESSAGE_BYTES,
    )


async def fetch_directory(target: Endpoint, after_revision: int) -> DirectoryReply | None:
    """Fetches the directory's changes from a peer.

    Args:
        target: The peer.
        after: Revision up to which all is known here.

    Returns:
        The changes, None where the peer cannot be reached.
    """
    try:
        return await asyncio.wait_for(_fetch(target, after_revision), FETCH_TIMEOUT_S)
    except (WebSocketException, OSError, DecodeError, TimeoutError):
        return None


async def _fetch(target: Endpoint, after_revision: int) -> DirectoryReply | None:
    link = connect(
        f'ws://{target}',
        compression=COMPRESSION,
        ping_interval=None,
        max_size=MAX_MESSAGE_BYTES,
        proxy=None,
    )
    async with link as connection:
        await connection.send(STEERING_CODEC.encode(DirectoryRequest(after_revision)))
        data = await connection.recv()
    message = STEERING_CODEC.decode(data if isinstance(data, bytes) else b'')
    return message if isinstance(message, DirectoryReply) else None


async def _close_connection(_connection: ServerConnection) -> None:
    """Closes a connection that asked for more than a page."""
