"""Heartbeats among entry VMs: revision, owner and load travel on them."""

import random
from collections.abc import Callable

import gevent
import msgspec

from lacewingmill.adapters.http_client import HttpClient
from lacewingmill.codec import decode, encode
from lacewingmill.events import EventLog, LogEvent
from lacewingmill.exceptions import TransportError
from lacewingmill.membership.messages import Heartbeat
from lacewingmill.membership.view import FleetView, PeerState
from lacewingmill.models import Vm
from lacewingmill.ports import Clock

__all__ = ["Heartbeats", "choose_peers"]

INTERVAL_S = 1.0
TIMEOUT_S = 1.0
ALL_UP_TO = 8
PROBED = 4


def choose_peers(peers: tuple[Vm, ...], owner: str, rng: random.Random) -> list[Vm]:
    """Return the peers to call in one round: all of a few, else some at random and the owner."""
    if len(peers) <= ALL_UP_TO:
        return list(peers)
    chosen = rng.sample(peers, PROBED)
    if not any(vm.name == owner for vm in chosen):
        chosen.extend(vm for vm in peers if vm.name == owner)
    return chosen


class Heartbeats:
    """Exchanges heartbeats with the other entry VMs.

    :param compose: returns this VM's own heartbeat.
    :param heard: called with each heartbeat that arrives.
    """

    def __init__(
        self,
        caller: HttpClient,
        clock: Clock,
        log: EventLog,
        fleet: FleetView,
        compose: Callable[[], Heartbeat],
        heard: Callable[[Heartbeat], None],
        rng: random.Random,
    ):
        self._caller = caller
        self._clock = clock
        self._log = log
        self._fleet = fleet
        self._compose = compose
        self._heard = heard
        self._rng = rng
        self._silent: set[str] = set()

    def run(self) -> None:
        """Call peers for ever."""
        while True:
            self.round()
            self._clock.sleep(INTERVAL_S)

    def round(self) -> None:
        """Call this round's peers and wait for their answers."""
        own = self._compose()
        owner = own.owner.vm if own.owner else ""
        peers = choose_peers(self._fleet.peers(), owner, self._rng)
        gevent.joinall([gevent.spawn(self._call, vm, own) for vm in peers])

    def receive(self, body: bytes) -> bytes:
        """Take in a heartbeat of a peer and return this VM's own.

        :raises msgspec.MsgspecError: when the body is no heartbeat.
        """
        self._take(decode(body, Heartbeat))
        return encode(self._compose())

    def _call(self, vm: Vm, own: Heartbeat) -> None:
        try:
            reply = self._caller.call(
                vm.control, "POST", "/peer/heartbeat", body=encode(own), timeout_s=TIMEOUT_S
            )
            self._take(decode(reply.body, Heartbeat))
        except (TransportError, msgspec.MsgspecError) as exc:
            if vm.name not in self._silent:
                self._silent.add(vm.name)
                self._log.emit(LogEvent.PEER_SILENT, peer=vm.name, reason=str(exc))

    def _take(self, heartbeat: Heartbeat) -> None:
        state = PeerState(
            self._clock.now(),
            heartbeat.revision,
            heartbeat.leaving,
            heartbeat.ready,
            heartbeat.load,
        )
        self._fleet.record_heartbeat(heartbeat.vm, state)
        if heartbeat.vm in self._silent:
            self._silent.discard(heartbeat.vm)
            self._log.emit(LogEvent.PEER_BACK, peer=heartbeat.vm)
        self._heard(heartbeat)
