"""A network in this process: calls reach emulated parts and VMs, or fail as real ones do."""

import json

import attrs
import gevent

from lacewingmill.adapters.http_client import HttpReply
from lacewingmill.adapters.http_server import HttpRequest, HttpResponse
from lacewingmill.exceptions import CallTimeout, ConnectFailed, TransportError

__all__ = ["EmulatedNetwork", "EmulatedService"]

LATENCY_S = 0.001


class EmulatedNetwork:
    """Addresses of emulated parts, and the cuts between them.

    :param clock: virtual time.
    """

    def __init__(self, clock, store, store_address: str):
        self.clock = clock
        self.store = store
        self.executors: dict[str, object] = {}
        self.servers: dict[str, EmulatedServer] = {}
        self.cut: set[tuple[str, str]] = set()
        self.lost_orders: set[str] = set()
        self.advisor_address = ""
        self.machines_address = ""
        self.machines_down = False
        self.run_history = None
        self.advice_s = 0.05
        self.lost_responses: dict[str, int] = {}
        self.late_orders: dict[str, float] = {}
        self.lost_holds: dict[str, int] = {}
        self.reset_holds: dict[str, int] = {}
        self.call_counts: dict[str, int] = {}
        self._store_address = store_address

    def client(self, name: str) -> "_Caller":
        """Return the HTTP client of one VM."""
        return _Caller(self, name)

    def server(self, address: str, handle, on_error=None) -> "EmulatedService":
        """Return an HTTP service of a VM, in the place of a listening one."""
        return EmulatedServer(self, address, handle)

    def advise(self, body: dict) -> tuple[int, dict]:
        """Answer as the advice service does, after a time for each worker."""
        self.clock.sleep(self.advice_s * (1 + len(body["workers"])))
        job = body["step"].split(".", 1)[0]
        good = self.run_history.ticketed_executors.get(job, set())
        rows = [[name, f"ticket {job} {name}"] for name in body["workers"] if name in good]
        return 200, {"good": rows, "valid_ms": 3000}

    def list_machines(self, path: str) -> tuple[int, dict] | None:
        """Answer with one machine a page; ``None`` while the service is away."""
        if self.machines_down:
            return None
        ids = [each.name for each in self.executors.values() if each.exited_at is None]
        at = int(path.partition("page_token=")[2] or 0)
        rows = [{"machine": f"m-{name}", "state": "up", "id": name} for name in ids[at : at + 1]]
        following = str(at + 1) if at + 1 < len(ids) else None
        return 200, {"machines": rows, "next_token": following}

    def reachable(self, name: str, address: str) -> bool:
        """Whether a VM's packets reach an address."""
        return (name, address) not in self.cut and (name, "*") not in self.cut


@attrs.define(eq=False)
class EmulatedServer:
    """A service that takes calls while it is started."""

    network: EmulatedNetwork
    address: str
    handle: object
    in_flight: int = 0

    def start(self) -> None:
        """Take calls."""
        self.network.servers[self.address] = self

    def drain(self) -> None:
        """Go on as before; calls here have no connections."""

    def close(self) -> None:
        """Take no more calls."""
        if self.network.servers.get(self.address) is self:
            del self.network.servers[self.address]

    def call(self, method: str, path: str, headers: dict, body: bytes) -> HttpResponse:
        """Answer one call."""
        fields = {name.lower(): value for name, value in headers.items()}
        self.in_flight += 1
        try:
            return self.handle(HttpRequest(method, path, "", fields, body))
        finally:
            self.in_flight -= 1


class _Caller:
    """Takes the place of the product's HTTP client."""

    def __init__(self, network: EmulatedNetwork, name: str):
        self._network = network
        self._name = name
        self.alive = True

    def call(self, peer, method, path, *, body=b"", headers=None, timeout_s):
        """Send one request and return its whole answer, or fail as a network does."""
        network = self._network
        network.clock.sleep(LATENCY_S)
        if not self.alive:
            network.clock.sleep(1e9)
        if not network.reachable(self._name, peer):
            network.clock.sleep(timeout_s)
            raise CallTimeout("no answer", step=path, peer=peer)
        if peer == network._store_address:
            return self._finish(network.store.handle(self._name, method, path, body), timeout_s)
        if peer in network.executors and network.executors[peer].exited_at is None:
            return self._order(peer, path, headers or {}, body, timeout_s)
        if peer == network.advisor_address:
            return self._finish(network.advise(json.loads(body)), timeout_s)
        if peer == network.machines_address:
            return self._finish(network.list_machines(path), timeout_s)
        server = network.servers.get(peer)
        if server is None:
            raise ConnectFailed("refused", step="connect", peer=peer)
        answer = server.call(method, path, headers or {}, body)
        return HttpReply(answer.status, {}, answer.body)

    def forget(self, peer) -> None:
        """Close nothing; calls here have no connections."""

    def _order(self, peer, path, headers, body, timeout_s):
        network = self._network
        executor = network.executors[peer]
        network.call_counts[path] = network.call_counts.get(path, 0) + 1
        if path == "/hold" and network.lost_holds.get(executor.name, 0):
            network.lost_holds[executor.name] -= 1
            network.clock.sleep(timeout_s)
            raise CallTimeout("hold lost", step=path, peer=peer)
        if path == "/hold" and network.reset_holds.get(executor.name, 0):
            network.reset_holds[executor.name] -= 1
            raise TransportError("connection reset", step=path, peer=peer)
        if executor.name in network.lost_orders and path != "/hold":
            network.clock.sleep(timeout_s)
            raise CallTimeout("order lost", step=path, peer=peer)
        late_s = network.late_orders.get(executor.name)
        if late_s is not None and path != "/hold":
            gevent.spawn(self._later, executor, path, headers, body, late_s)
            network.clock.sleep(timeout_s)
            raise CallTimeout("order late", step=path, peer=peer)
        answer = executor.handle(path, headers, body)
        if executor.exited_at is not None:
            raise TransportError("connection reset", step=path, peer=peer)
        if path != "/hold" and network.lost_responses.get(executor.name, 0):
            network.lost_responses[executor.name] -= 1
            network.clock.sleep(timeout_s)
            raise CallTimeout("answer lost", step=path, peer=peer)
        return self._finish(answer, timeout_s)

    def _later(self, executor, path, headers, body, late_s) -> None:
        """Carry an order out late; one that waits in a process is lost with it."""
        born = executor.born
        self._network.clock.sleep(late_s)
        if executor.born == born:
            executor.handle(path, headers, body)

    def _finish(self, answer, timeout_s):
        network = self._network
        if answer is None:
            network.clock.sleep(timeout_s)
            raise TransportError("answer lost", step="call", peer=self._name)
        network.clock.sleep(LATENCY_S)
        if not self.alive:
            network.clock.sleep(1e9)
        status, body = answer
        return HttpReply(status, {}, json.dumps(body).encode())
