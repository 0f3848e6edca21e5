"""HTTP client for calls to other processes, based on geventhttpclient.

A call must never receive the response to another one. Every call has a timeout. When a call times
out or its connection fails, all idle connections to that peer are closed, because one silent
connection suggests that the network path has lost the state of the others as well. A connection
returns to the pool only after its response was read completely, so that none is left unread.

A call is sent once, whatever its method; whether and when to repeat it is up to the caller.
"""

import select
import socket
from collections.abc import Mapping

import attrs
import gevent
from geventhttpclient import HTTPClient as GeventHttpClient
from geventhttpclient.connectionpool import ConnectionPool
from geventhttpclient.response import HTTPParseError

from lacewingmill.addresses import is_address, split_address
from lacewingmill.codec import MAX_MESSAGE_BYTES
from lacewingmill.exceptions import CallTimeout, ConnectFailed, TransportError

__all__ = ["HttpClient", "HttpReply"]

CONNECT_TIMEOUT_S = 1.0
POOL_SIZE = 1024
BLOCK_BYTES = 65536


@attrs.frozen
class HttpReply:
    """A complete response received from a peer.

    :param headers: header fields by lower-case name.
    """

    status: int
    headers: Mapping[str, str]
    body: bytes


class _CallTimer(gevent.Timeout):
    """Timeout of a call, distinct from timeouts that the calling code sets around it."""


class _Pool(ConnectionPool):
    """Connection pool that reports a failed connect as :class:`ConnectFailed`.

    :param host: IP address of the peer.
    """

    def __init__(self, host: str, port: int):
        super().__init__(
            host,
            port,
            host,
            port,
            size=POOL_SIZE,
            connection_timeout=CONNECT_TIMEOUT_S,
            network_timeout=None,
        )
        # The client resends an idempotent request ``size + 1`` times when its connection is closed.
        self.size = -1

    def _is_socket_alive(self, sock) -> bool:
        """Return whether an idle connection is neither closed nor has unread data.

        Unlike ``select`` in the base class, ``poll`` accepts descriptors above 1023.
        """
        try:
            poller = select.poll()
            poller.register(sock, select.POLLIN)
            return not poller.poll(0)
        except (OSError, ValueError):  # the socket was closed by this process
            return False

    def _create_socket(self):
        peer = f"{self._connection_host}:{self._connection_port}"
        try:
            return super()._create_socket()
        except _CallTimer as exc:
            raise ConnectFailed("no connection in time", step="connect", peer=peer) from exc
        except OSError as exc:
            raise ConnectFailed(
                f"connection refused or timed out: {exc}", step="connect", peer=peer
            ) from exc

    def after_connect(self, sock) -> None:
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)


class HttpClient:
    """Client for any number of peers, with a connection pool for each."""

    def __init__(self):
        self._clients: dict[str, GeventHttpClient] = {}

    def call(
        self,
        peer: str,
        method: str,
        path: str,
        *,
        body: bytes = b"",
        headers: Mapping[str, str] | None = None,
        timeout_s: float,
    ) -> HttpReply:
        """Send a request and read the complete response.

        :param peer: ``host:port``, with an IP address as host.
        :param timeout_s: time limit for the request and the first :data:`BLOCK_BYTES` of the
            response, and again for each further block, in seconds; a large response over a slow
            link takes longer in total.
        :raises ConnectFailed: when the address is malformed, or no connection was established in
            time; nothing was sent.
        :raises CallTimeout: when no complete response arrived in time.
        :raises TransportError: when the connection failed after bytes may have been sent.
        """
        client = self._client_for(peer)
        try:
            return self._exchange(client, method, path, body, headers or {}, timeout_s)
        except _CallTimer as exc:
            self._discard_client(peer, client)
            raise CallTimeout(f"no response within {timeout_s:g} s", step=path, peer=peer) from exc
        except ConnectFailed:
            raise
        except (OSError, HTTPParseError, RuntimeError, ValueError) as exc:
            self._discard_client(peer, client)
            raise TransportError(f"connection failed: {exc}", step=path, peer=peer) from exc

    def forget(self, peer: str) -> None:
        """Close the idle connections to a peer; a later call opens new ones."""
        client = self._clients.pop(peer, None)
        if client is not None:
            client.close()

    def _client_for(self, peer: str) -> GeventHttpClient:
        client = self._clients.get(peer)
        if client is not None:
            return client
        if not is_address(peer):
            raise ConnectFailed(f"{peer[:80]!r} is not an address", step="connect", peer=peer[:80])
        host, port = split_address(peer)
        client = GeventHttpClient(host, port, block_size=BLOCK_BYTES)
        client._connection_pool = _Pool(host, port)
        self._clients[peer] = client
        return client

    def _discard_client(self, peer: str, client: GeventHttpClient) -> None:
        """Close the idle connections opened before a failure; calls in progress keep theirs."""
        if self._clients.get(peer) is client:
            del self._clients[peer]
        client.close()

    @staticmethod
    def _exchange(client, method, path, body, headers, timeout_s) -> HttpReply:
        with _CallTimer(timeout_s):
            response = client.request(method, path, body=body, headers=headers)
            data = block = bytes(response.read(BLOCK_BYTES))
        try:
            while len(block) == BLOCK_BYTES:
                with _CallTimer(timeout_s):
                    block = bytes(response.read(BLOCK_BYTES))
                data += block
                if len(data) > MAX_MESSAGE_BYTES:
                    raise TransportError(
                        f"response larger than {MAX_MESSAGE_BYTES} bytes",
                        step=path,
                        peer=client.host,
                    )
        finally:
            response.release()
        declared = response.content_length
        if declared is not None and declared != len(data):
            raise TransportError(
                f"incomplete response: {len(data)} of {declared} bytes", step=path, peer=client.host
            )
        fields = {name.lower(): str(value) for name, value in response.items()}
        return HttpReply(response.status_code, fields, data)
