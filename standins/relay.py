"""A TCP relay that can lose track of its open connections while new ones work."""

import contextlib
import socket

import gevent
import gevent.socket
from gevent.server import StreamServer

from lacewingmill.adapters.http_server import split_address

__all__ = ["SilentRelay"]

BLOCK_BYTES = 65536


class SilentRelay:
    """Relays to one address.

    :param target: ``host:port`` relayed to.
    """

    def __init__(self, address: str, target: str):
        self._target = target
        self._silenced: set[int] = set()
        self._open: set[int] = set()
        self._next = 0
        self._server = StreamServer(split_address(address), self._relay)

    def start(self) -> None:
        """Listen."""
        self._server.start()

    @property
    def address(self) -> str:
        """The address listened on."""
        return f"127.0.0.1:{self._server.server_port}"

    @property
    def accepted(self) -> int:
        """How many connections were accepted."""
        return self._next

    def silence_open(self) -> None:
        """Lose track of all connections that are open now."""
        self._silenced |= self._open

    def stop(self) -> None:
        """Stop."""
        self._server.stop(timeout=0)

    def _relay(self, sock, _address) -> None:
        self._next += 1
        number = self._next
        self._open.add(number)
        upstream = gevent.socket.create_connection(split_address(self._target))
        for end in (sock, upstream):
            end.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        back = gevent.spawn(self._copy, upstream, sock, number)
        self._copy(sock, upstream, number)
        back.kill()
        self._open.discard(number)

    def _copy(self, source, sink, number: int) -> None:
        with contextlib.suppress(OSError):
            while data := source.recv(BLOCK_BYTES):
                if number not in self._silenced:
                    sink.sendall(data)
