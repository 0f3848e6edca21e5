"""An emulated network: calls reach emulated services and VMs, or fail as on a real network."""

import json
from collections.abc import Callable

import attrs
import gevent
from gevent.event import Event

from lacewingmill.adapters.http_client import HttpReply
from lacewingmill.adapters.http_server import HttpRequest, HttpResponse
from lacewingmill.addresses import is_address
from lacewingmill.exceptions import CallTimeout, ConnectFailed, TransportError

__all__ = ["EmulatedNetwork", "EmulatedServer"]

LATENCY_S = 0.001


class EmulatedNetwork:
    """Addresses of the emulated services and VMs, and the faults of calls between them.

    :param clock: virtual time.
    :param store: the emulated key-value store.
    :param store_address: address of the store.

    ``cut`` holds pairs of a VM and an address that it cannot reach, or ``*`` for all addresses. The
    ``slow_servers`` holds the delay of the answers at an address, in seconds. The
    other faults are given by the name of an executor:

    - ``lost_orders``: executors that no order reaches;
    - ``reset_orders``: executors to which the connections of orders are reset;
    - ``late_orders``: delay after which orders take effect, in seconds; they get no response;
    - ``lost_responses``: number of orders that take effect and get no response;
    - ``late_holds``: delay after which hold calls take effect, in seconds; they get no response;
    - ``lost_hold_answers``: number of hold calls that take effect and get no response;
    - ``lost_holds``, ``reset_holds``, ``refused_holds``: number of hold calls that time out, or
      whose connection is reset or refused.

    Hold calls are the long polls that extend the lease of an executor and return its ended runs.
    They are not orders here. ``dark`` names executors that are gone and of which no call learns so
    but by its timeout, and ``outdated_machines`` those that the machine list still names.
    ``call_counts`` counts orders and hold calls by path, and
    ``on_executor_call`` is called with the path, status and body of each that was executed.
    """

    def __init__(self, clock, store, store_address: str):
        self.clock = clock
        self.store = store
        self.executors: dict[str, object] = {}
        self.servers: dict[str, EmulatedServer] = {}
        self.cut: set[tuple[str, str]] = set()
        self.slow_servers: dict[str, float] = {}
        self.lost_orders: set[str] = set()
        self.reset_orders: set[str] = set()
        self.advisor_address = ""
        self.machines_address = ""
        self.machines_down = False
        self.run_history = None
        self.advice_delay_s = 0.05
        self.lost_responses: dict[str, int] = {}
        self.late_orders: dict[str, float] = {}
        self.lost_holds: dict[str, int] = {}
        self.reset_holds: dict[str, int] = {}
        self.refused_holds: dict[str, int] = {}
        self.late_holds: dict[str, float] = {}
        self.lost_hold_answers: dict[str, int] = {}
        self.dark: set[str] = set()
        self.outdated_machines: set[str] = set()
        self.latency_s = LATENCY_S
        self.call_counts: dict[str, int] = {}
        self.on_executor_call: Callable[[str, int, dict], None] | None = None
        self._store_address = store_address

    def client(self, name: str) -> "_EmulatedClient":
        """Return the HTTP client of one VM."""
        return _EmulatedClient(self, name)

    def server(self, address: str, handle, on_error=None) -> "EmulatedServer":
        """Return an HTTP server of a VM, which replaces a listening one."""
        return EmulatedServer(self, address, handle)

    def advise(self, body: dict) -> tuple[int, dict]:
        """Respond as the advice service, after a delay that grows with the number of workers."""
        self.clock.sleep(self.advice_delay_s * (1 + len(body["workers"])))
        job = body["step"].split(".", 1)[0]
        allowed = self.run_history.ticketed_executors.get(job, set())
        rows = [[name, f"ticket {job} {name}"] for name in body["workers"] if name in allowed]
        return 200, {"good": rows, "valid_ms": 3000}

    def list_machines(self, path: str) -> tuple[int, dict] | None:
        """Return a page with one machine, or ``None`` while the service is down."""
        if self.machines_down:
            return None
        ids = [
            executor.name
            for executor in self.executors.values()
            if executor.exited_at is None or executor.name in self.outdated_machines
        ]
        start = int(path.partition("page_token=")[2] or 0)
        rows = [
            {"machine": f"m-{name}", "state": "up", "id": name} for name in ids[start : start + 1]
        ]
        next_token = str(start + 1) if start + 1 < len(ids) else None
        return 200, {"machines": rows, "next_token": next_token}

    def reachable(self, name: str, address: str) -> bool:
        """Return whether packets of a VM reach an address."""
        return (name, address) not in self.cut and (name, "*") not in self.cut


@attrs.define(eq=False)
class EmulatedServer:
    """An HTTP server that accepts calls while it is started."""

    network: EmulatedNetwork
    address: str
    handle: object
    in_flight: int = 0

    def start(self) -> None:
        """Start accepting calls."""
        self.network.servers[self.address] = self

    def drain(self) -> None:
        """Do nothing: emulated calls have no connections."""

    def close(self) -> None:
        """Stop accepting calls."""
        if self.network.servers.get(self.address) is self:
            del self.network.servers[self.address]

    def call(self, method: str, path: str, headers: dict, body: bytes) -> HttpResponse:
        """Handle a call."""
        lower_headers = {name.lower(): value for name, value in headers.items()}
        self.in_flight += 1
        try:
            return self.handle(HttpRequest(method, path, "", lower_headers, body))
        finally:
            self.in_flight -= 1


class _EmulatedClient:
    """Replaces the HTTP client of one VM.

    Calls of a VM that is no longer ``alive`` never return. A call over a path that was cut after an
    earlier call gets no answer; the next one gets no connection.
    """

    def __init__(self, network: EmulatedNetwork, name: str):
        self._network = network
        self._name = name
        self._connected: set[str] = set()
        self.alive = True

    def call(self, peer, method, path, *, body=b"", headers=None, timeout_s):
        """Send a request and return the whole response.

        :raises TransportError: if the call fails.
        """
        network = self._network
        network.clock.sleep(network.latency_s)
        if not self.alive:
            network.clock.sleep(1e9)
        if not is_address(peer):
            raise ConnectFailed("not an address", step="connect", peer=peer)
        if not network.reachable(self._name, peer):
            network.clock.sleep(timeout_s)
            if peer not in self._connected:
                raise ConnectFailed("no connection in time", step="connect", peer=peer)
            self._connected.discard(peer)
            raise CallTimeout("no answer", step=path, peer=peer)
        self._connected.add(peer)
        if peer == network._store_address:
            return self._call_store(method, path, body, timeout_s)
        if peer in network.executors and network.executors[peer].exited_at is None:
            return self._call_executor(peer, path, headers or {}, body, timeout_s)
        if peer == network.advisor_address:
            return self._call_advisor(json.loads(body), timeout_s)
        if peer == network.machines_address:
            return self._receive(network.list_machines(path), timeout_s)
        return self._call_vm(peer, method, path, headers or {}, body, timeout_s)

    def _call_vm(self, peer, method, path, headers, body, timeout_s):
        network = self._network
        server = network.servers.get(peer)
        if server is None:
            raise ConnectFailed("refused", step="connect", peer=peer)
        self._delay_answer(peer, path, timeout_s)
        answered = Event()
        call = gevent.spawn(server.call, method, path, headers, body)
        call.rawlink(lambda _: answered.set())
        if not network.clock.wait(answered, timeout_s):
            raise CallTimeout("no answer", step=path, peer=peer)
        response = call.get()
        return HttpReply(response.status, {}, response.body)

    def forget(self, peer) -> None:
        """Let the next call to a peer open a connection."""
        self._connected.discard(peer)

    def _call_store(self, method, path, body, timeout_s):
        try:
            response = self._network.store.handle(self._name, method, path, body)
        except ConnectionResetError as exc:
            raise TransportError("connection reset", step=path, peer=self._name) from exc
        return self._receive(response, timeout_s)

    def _call_advisor(self, body, timeout_s):
        network = self._network
        answer_by = network.clock.now() + timeout_s
        response = network.advise(body)
        if network.clock.now() > answer_by:
            raise CallTimeout("answer late", step="/advise", peer=self._name)
        return self._receive(response, timeout_s)

    def _call_executor(self, peer, path, headers, body, timeout_s):
        network = self._network
        executor = network.executors[peer]
        network.call_counts[path] = network.call_counts.get(path, 0) + 1
        self._fail_on_the_way(executor, path, timeout_s)
        late = network.late_holds if path == "/hold" else network.late_orders
        delay_s = late.get(executor.name)
        if delay_s is not None:
            gevent.spawn(self._deliver_late, executor, path, headers, body, delay_s)
            network.clock.sleep(timeout_s)
            raise CallTimeout("order late", step=path, peer=peer)
        answer_by = network.clock.now() + timeout_s
        incarnation = executor.incarnation
        response = executor.handle(path, headers, body)
        if network.on_executor_call is not None:
            network.on_executor_call(path, *response)
        if executor.name in network.dark:
            network.clock.sleep(max(0.0, answer_by - network.clock.now()))
            raise CallTimeout("no answer", step=path, peer=peer)
        if executor.exited_at is not None:
            raise TransportError("connection reset", step=path, peer=peer)
        if path == "/hold" and executor.incarnation == incarnation:
            executor.record_listing(response[1].get("ended", []))
        self._lose_answer(executor, path, answer_by, timeout_s)
        return self._receive(response, timeout_s)

    def _fail_on_the_way(self, executor, path, timeout_s) -> None:
        """Raise an error if the call never reaches the executor."""
        network, name, peer = self._network, executor.name, executor.entry["addr"]
        if path != "/hold":
            if name in network.reset_orders:
                raise TransportError("connection reset", step=path, peer=peer)
            if name in network.lost_orders:
                network.clock.sleep(timeout_s)
                raise CallTimeout("order lost", step=path, peer=peer)
        elif network.lost_holds.get(name, 0):
            network.lost_holds[name] -= 1
            network.clock.sleep(timeout_s)
            raise CallTimeout("hold lost", step=path, peer=peer)
        elif network.reset_holds.get(name, 0):
            network.reset_holds[name] -= 1
            raise TransportError("connection reset", step=path, peer=peer)
        elif network.refused_holds.get(name, 0):
            network.refused_holds[name] -= 1
            raise ConnectFailed("refused", step="connect", peer=peer)

    def _lose_answer(self, executor, path, answer_by, timeout_s) -> None:
        """Delay the answer of an executor, and raise an error if it is lost."""
        network, name, peer = self._network, executor.name, executor.entry["addr"]
        if path == "/hold" and network.lost_hold_answers.get(name, 0):
            network.lost_hold_answers[name] -= 1
            network.clock.sleep(max(0.0, answer_by - network.clock.now()))
            raise CallTimeout("answer lost", step=path, peer=peer)
        self._delay_answer(peer, path, answer_by - network.clock.now())
        if path != "/hold" and network.lost_responses.get(name, 0):
            network.lost_responses[name] -= 1
            network.clock.sleep(timeout_s)
            raise CallTimeout("answer lost", step=path, peer=peer)

    def _delay_answer(self, peer, path, timeout_s):
        delay_s = self._network.slow_servers.get(peer, 0.0)
        if delay_s:
            self._network.clock.sleep(max(0.0, min(delay_s, timeout_s)))
        if delay_s and delay_s >= timeout_s:
            raise CallTimeout("answer late", step=path, peer=peer)

    def _deliver_late(self, executor, path, headers, body, delay_s) -> None:
        """Deliver an order late; it is lost if the executor restarts or exits meanwhile."""
        incarnation = executor.incarnation
        self._network.clock.sleep(delay_s)
        if executor.incarnation == incarnation and executor.exited_at is None:
            executor.handle(path, headers, body)

    def _receive(self, response, timeout_s):
        network = self._network
        if response is None:
            network.clock.sleep(timeout_s)
            raise TransportError("answer lost", step="call", peer=self._name)
        network.clock.sleep(network.latency_s)
        if not self.alive:
            network.clock.sleep(1e9)
        status, body = response
        return HttpReply(status, {}, json.dumps(body).encode())
