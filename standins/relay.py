"""A TCP relay that can silence its open connections while new ones work."""

import contextlib
import socket

import gevent
import gevent.socket
from gevent.server import StreamServer

from lacewingmill.addresses import split_address

__all__ = ["SilentRelay"]

CHUNK_BYTES = 65536


class SilentRelay:
    """Relays TCP connections to one address.

    :param address: ``host:port`` to listen on; port 0 picks a free one.
    :param upstream_address: ``host:port`` to relay to.
    """

    def __init__(self, address: str, upstream_address: str):
        self._upstream_address = upstream_address
        self._silenced: set[int] = set()
        self._open: set[int] = set()
        self._accepted = 0
        self._server = StreamServer(split_address(address), self._relay)

    def start(self) -> None:
        """Start listening."""
        self._server.start()

    @property
    def address(self) -> str:
        """Address that the relay listens on."""
        return f"127.0.0.1:{self._server.server_port}"

    @property
    def accepted(self) -> int:
        """Number of connections accepted so far."""
        return self._accepted

    def silence_open(self) -> None:
        """Drop all further data of the connections that are open now, without closing them."""
        self._silenced |= self._open

    def stop(self) -> None:
        """Stop listening."""
        self._server.stop(timeout=0)

    def _relay(self, sock, _address) -> None:
        self._accepted += 1
        connection_id = self._accepted
        self._open.add(connection_id)
        upstream = gevent.socket.create_connection(split_address(self._upstream_address))
        for end in (sock, upstream):
            end.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        downstream = gevent.spawn(self._copy, upstream, sock, connection_id)
        self._copy(sock, upstream, connection_id)
        downstream.kill()
        self._open.discard(connection_id)

    def _copy(self, source, sink, connection_id: int) -> None:
        with contextlib.suppress(OSError):
            while data := source.recv(CHUNK_BYTES):
                if connection_id not in self._silenced:
                    sink.sendall(data)
