"""TCP services of a steering instance: the directory for peers, readiness and metrics."""

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

# A reachable peer answers within milliseconds; a fetch that takes longer is abandoned.
FETCH_TIMEOUT_S = 1.0
# A configuration of 1,600 routes has 250 KB, and a dozen concurrent fetches of it take
# seconds on a link of 10 Mbit/s. Compression reduces it to less than a tenth.
COMPRESSION = 'deflate'
MAX_MESSAGE_BYTES = 16 << 20

PageRenderer = Callable[[], tuple[HTTPStatus, str]]


async def serve_page(listen: Endpoint, page: PageRenderer) -> None:
    """Starts an HTTP server that answers every GET with the same page.

    Args:
        listen: Endpoint to listen on.
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
    """Starts a WebSocket server from which peers fetch the directory.

    Args:
        listen: Endpoint to listen on.
        changes_after: Returns the changes after a revision.
    """

    async def handle_request(connection: ServerConnection) -> None:
        try:
            data = await asyncio.wait_for(connection.recv(), FETCH_TIMEOUT_S)
            request = STEERING_CODEC.decode(data if isinstance(data, bytes) else b'')
            if isinstance(request, DirectoryRequest):
                await connection.send(STEERING_CODEC.encode(changes_after(request.after_revision)))
        except (WebSocketException, OSError, DecodeError, TimeoutError):
            # After the next heartbeat the peer asks again, here or at another instance.
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
        after_revision: Revision up to which the local directory is complete.

    Returns:
        The changes, None if they could not be fetched.
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
    """Closes a connection that asks for more than the page, by returning at once."""
