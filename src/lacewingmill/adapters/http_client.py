"""HTTP calls to other processes, by geventhttpclient.

The rules that keep answers apart live here. Every call has a deadline. A call that times out
retires all pooled connections to that peer that predate it, because one silent connection means
that the path has lost track of the others too. A connection is returned to the pool only after its
answer was read whole, so that it never carries an unread answer.
"""

import socket
from collections.abc import Mapping

import attrs
import gevent
from geventhttpclient import HTTPClient
from geventhttpclient.connectionpool import ConnectionPool
from geventhttpclient.response import HTTPParseError

from lacewingmill.exceptions import CallTimeout, ConnectFailed, TransportError

__all__ = ["HttpCaller", "HttpReply"]

CONNECT_TIMEOUT_S = 1.0
POOL_SIZE = 1024
BLOCK_BYTES = 65536


@attrs.frozen
class HttpReply:
    """A whole answer.

    :param headers: header fields with lower-case names.
    """

    status: int
    headers: Mapping[str, str]
    body: bytes


class _CallTimer(gevent.Timeout):
    """The limit of a call, told apart from any that the caller has set around it."""


class _Pool(ConnectionPool):
    """Connection pool that tells failed connects from failed exchanges."""

    def _create_socket(self):
        try:
            return super()._create_socket()
        except OSError as exc:
            raise ConnectFailed(
                f"connection refused or timed out: {exc}",
                step="connect",
                peer=f"{self._connection_host}:{self._connection_port}",
            ) from exc

    def after_connect(self, sock) -> None:
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)


class HttpClient:
    """Calls to any number of peers over pooled connections."""

    def __init__(self):
        self._clients: dict[str, HTTPClient] = {}

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
        """Send one request and read its whole answer.

        :param peer: ``host:port``, an IP number and a port.
        :param timeout_s: limit up to the first :data:`BLOCK_BYTES` of the answer, and for each
            block more, in seconds: a large answer takes its time over a slow link.
        :raises ConnectFailed: nothing was sent.
        :raises CallTimeout: no whole answer arrived in time.
        :raises TransportError: the connection broke after bytes may have been sent.
        """
        client = self._client(peer)
        try:
            return self._exchange(client, method, path, body, headers or {}, timeout_s)
        except _CallTimer as exc:
            self._retire(peer, client)
            raise CallTimeout(f"no answer within {timeout_s:g} s", step=path, peer=peer) from exc
        except ConnectFailed:
            raise
        except (OSError, HTTPParseError, RuntimeError) as exc:
            self._retire(peer, client)
            raise TransportError(f"connection failed: {exc}", step=path, peer=peer) from exc

    def forget(self, peer: str) -> None:
        """Close the idle connections to a peer that has left."""
        client = self._clients.pop(peer, None)
        if client is not None:
            client.close()

    def _client(self, peer: str) -> HTTPClient:
        client = self._clients.get(peer)
        if client is not None:
            return client
        host, _, port = peer.rpartition(":")
        client = HTTPClient(host, int(port), concurrency=POOL_SIZE, block_size=BLOCK_BYTES)
        client._connection_pool = _Pool(
            host,
            int(port),
            host,
            int(port),
            size=POOL_SIZE,
            connection_timeout=CONNECT_TIMEOUT_S,
            network_timeout=None,
        )
        self._clients[peer] = client
        return client

    def _retire(self, peer: str, client: HTTPClient) -> None:
        """Close the connections that predate a failure; exchanges under way finish on theirs."""
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
        finally:
            response.release()
        declared = response.content_length
        if declared is not None and declared != len(data):
            raise TransportError(
                f"answer cut short: {len(data)} of {declared} bytes", step=path, peer=client.host
            )
        fields = {name.lower(): str(value) for name, value in response.items()}
        return HttpReply(response.status_code, fields, data)
