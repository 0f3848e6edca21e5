"""Heartbeats between entry VMs, which carry the catalogue revision, the owner and the load."""

import random
from collections.abc import Callable

import gevent

from lacewingmill.adapters.http_client import HttpClient
from lacewingmill.codec import decode, encode
from lacewingmill.events import EventLog, LogEvent
from lacewingmill.exceptions import MessageInvalid, TransportError
from lacewingmill.membership.messages import Heartbeat
from lacewingmill.membership.view import FleetView, PeerState
from lacewingmill.models import Vm
from lacewingmill.ports import Clock

__all__ = ["Heartbeats", "choose_peers"]

HEARTBEAT_INTERVAL_S = 1.0
HEARTBEAT_TIMEOUT_S = 1.0
FULL_MESH_MAX_PEERS = 8
SAMPLED_PEERS = 4


def choose_peers(peers: tuple[Vm, ...], owner: str, rng: random.Random) -> list[Vm]:
    """Choose the peers to call in one round.

    :param owner: name of the owner of the cell, empty if none is known.
    :return: all peers if there are few, else a random sample and the owner.
    """
    if len(peers) <= FULL_MESH_MAX_PEERS:
        return list(peers)
    chosen = rng.sample(peers, SAMPLED_PEERS)
    if not any(vm.name == owner for vm in chosen):
        chosen.extend(vm for vm in peers if vm.name == owner)
    return chosen


class Heartbeats:
    """Exchanges heartbeats with the other entry VMs.

    :param compose: returns the current heartbeat of this VM.
    :param on_heartbeat: called with each heartbeat received, in a request or a response.
    :param rng: random number generator that samples the peers.
    """

    def __init__(
        self,
        client: HttpClient,
        clock: Clock,
        log: EventLog,
        fleet: FleetView,
        compose: Callable[[], Heartbeat],
        on_heartbeat: Callable[[Heartbeat], None],
        rng: random.Random,
    ):
        self._client = client
        self._clock = clock
        self._log = log
        self._fleet = fleet
        self._compose = compose
        self._on_heartbeat = on_heartbeat
        self._rng = rng
        self._silent_peers: set[str] = set()

    def run(self) -> None:
        """Run heartbeat rounds forever."""
        while True:
            self.run_round()
            self._clock.sleep(HEARTBEAT_INTERVAL_S)

    def run_round(self) -> None:
        """Send one round of heartbeats and wait for the responses."""
        own = self._compose()
        owner = own.owner.vm if own.owner else ""
        peers = choose_peers(self._fleet.peers(), owner, self._rng)
        gevent.joinall([gevent.spawn(self._exchange, vm, own) for vm in peers])

    def receive(self, body: bytes) -> bytes:
        """Handle a heartbeat request of a peer.

        :param body: the encoded heartbeat.
        :return: the encoded heartbeat of this VM.
        :raises MessageInvalid: when the body is not a valid heartbeat.
        """
        self._record(decode(body, Heartbeat))
        return encode(self._compose())

    def _exchange(self, vm: Vm, own: Heartbeat) -> None:
        try:
            reply = self._client.call(
                vm.control,
                "POST",
                "/peer/heartbeat",
                body=encode(own),
                timeout_s=HEARTBEAT_TIMEOUT_S,
            )
            self._record(decode(reply.body, Heartbeat))
        except (TransportError, MessageInvalid) as exc:
            if vm.name not in self._silent_peers:
                self._silent_peers.add(vm.name)
                self._log.emit(LogEvent.PEER_SILENT, peer=vm.name, reason=str(exc))

    def _record(self, heartbeat: Heartbeat) -> None:
        state = PeerState(
            self._clock.now(),
            heartbeat.revision,
            heartbeat.leaving,
            heartbeat.ready,
            heartbeat.load,
        )
        self._fleet.record_heartbeat(heartbeat.vm, state)
        if heartbeat.vm in self._silent_peers:
            self._silent_peers.discard(heartbeat.vm)
            self._log.emit(LogEvent.PEER_BACK, peer=heartbeat.vm)
        self._on_heartbeat(heartbeat)
