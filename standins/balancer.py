"""Stand-in for the platform's balancer: distributes connections over the ready entry VMs."""

import contextlib
import socket

import gevent
import gevent.socket
from gevent.server import StreamServer

from lacewingmill.adapters.http_client import HttpClient
from lacewingmill.addresses import split_address
from lacewingmill.exceptions import TransportError

__all__ = ["BalancerStandin"]

PROBE_INTERVAL_S = 0.5
PROBE_TIMEOUT_S = 1.0
CHUNK_BYTES = 65536


class BalancerStandin:
    """A round-robin TCP balancer with health checks.

    :param address: ``host:port`` to listen on.
    :param entry_vms: the address for clients and the control address of each entry VM.
    """

    def __init__(self, address: str, entry_vms: list[tuple[str, str]]):
        self._entry_vms = entry_vms
        self._ready: list[str] = []
        self._next_index = 0
        self._client = HttpClient()
        self._server = StreamServer(split_address(address), self._relay)

    def start(self) -> None:
        """Start listening and checking the health of the entry VMs."""
        self._server.start()
        for address, control in self._entry_vms:
            gevent.spawn(self._probe_forever, address, control)

    def _probe_forever(self, address: str, control: str) -> None:
        while True:
            ready = self._probe(control)
            if ready and address not in self._ready:
                self._ready.append(address)
            if not ready and address in self._ready:
                self._ready.remove(address)
            gevent.sleep(PROBE_INTERVAL_S)

    def _probe(self, control: str) -> bool:
        try:
            reply = self._client.call(control, "GET", "/ready", timeout_s=PROBE_TIMEOUT_S)
        except TransportError:
            return False
        return reply.status == 200

    def _relay(self, sock, _address) -> None:
        upstream = self._connect()
        if upstream is None:
            sock.close()
            return
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        upstream.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        downstream = gevent.spawn(_copy, upstream, sock)
        _copy(sock, upstream)
        downstream.join()

    def _connect(self):
        for _ in range(len(self._ready)):
            self._next_index += 1
            address = self._ready[self._next_index % len(self._ready)]
            try:
                return gevent.socket.create_connection(split_address(address), timeout=1.0)
            except OSError:
                continue
        return None


def _copy(source, sink) -> None:
    source.settimeout(None)
    try:
        while data := source.recv(CHUNK_BYTES):
            sink.sendall(data)
    except OSError:
        pass
    finally:
        for sock in (source, sink):
            with contextlib.suppress(OSError):
                sock.shutdown(socket.SHUT_RDWR)
        sink.close()
