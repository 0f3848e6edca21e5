"""Health checks of the owner, which detect its failure before its lease expires."""

import enum

from lacewingmill.exceptions import CallTimeout, ConnectFailed, PeerError, TransportError
from lacewingmill.jobs.directory import VmDirectory
from lacewingmill.jobs.election import JobElector, JobOwner
from lacewingmill.jobs.peers import AliveRequest, PeerClient, ReachRequest
from lacewingmill.ports import Clock

__all__ = ["OwnerWatch"]

# A failed owner is detected in about a second: two failed checks, confirmed by another VM.
CHECK_INTERVAL_S = 0.3
RECHECK_DELAY_S = 0.05
FAILURE_THRESHOLD = 2
# Number of VMs that check the owner; one of them may itself be unreachable or have failed.
CHECKING_VMS = 2
# Number of VMs that are asked for confirmation until one of them answers.
MAX_CONFIRMING_VMS = 2


class Probe(enum.Enum):
    """The result of a health check.

    ``SLOW`` means that the VM accepted a connection and did not answer in time, ``REFUSED`` that no
    process listens at the address.
    """

    ANSWERED = "answered"
    SLOW = "slow"
    UNREACHED = "unreached"
    REFUSED = "refused"


class OwnerWatch:
    """Checks the owner, if this VM is one of those that follow it in the order of addresses.

    An owner that accepts connections but answers slowly keeps its lease as long as it renews it: a
    takeover costs more time than it would save, and the next owner would have the same load.

    The owner's lease is ended only when another VM cannot reach it either. If the owner is still
    running, it may send orders until its own copy of the lease expires, so the replacement is
    recorded for the next owner.

    :param own_address: ``host:port`` on which this VM serves other VMs.
    """

    def __init__(
        self,
        own_address: str,
        elector: JobElector,
        peer_client: PeerClient,
        directory: VmDirectory,
        clock: Clock,
    ):
        self._own_address = own_address
        self._elector = elector
        self._peer_client = peer_client
        self._directory = directory
        self._clock = clock
        self._failures = 0
        self._slow = False

    def run(self) -> None:
        """Check the owner forever."""
        while True:
            self._clock.sleep(RECHECK_DELAY_S if self._failures else CHECK_INTERVAL_S)
            owner = self._elector.owner
            if owner is None or not self._watches(owner):
                self._failures = 0
                continue
            self._check(owner)

    def reaches(self, address: str) -> bool:
        """Whether the VM at an address accepts a new connection of this one."""
        self._peer_client.forget(address)
        return self._probe(address) in (Probe.ANSWERED, Probe.SLOW)

    def _check(self, owner: JobOwner) -> None:
        result = self._probe(owner.address)
        was_slow, self._slow = self._slow, result is Probe.SLOW
        if result is Probe.ANSWERED or (result is Probe.SLOW and was_slow):
            self._failures = 0
            return
        # A refused connection proves that no process listens. No connection may be due to a lost
        # packet, and no answer to an idle connection that has become silent.
        self._failures += FAILURE_THRESHOLD if result is Probe.REFUSED else 1
        if result is Probe.SLOW:
            return
        if self._failures < FAILURE_THRESHOLD:
            return
        self._failures = 0
        if self._is_confirmed_unreachable(owner):
            self._elector.replace(owner)

    def _probe(self, address: str) -> Probe:
        try:
            self._peer_client.send(address, AliveRequest())
        except ConnectFailed as exc:
            refused = isinstance(exc.__cause__, ConnectionRefusedError)
            return Probe.REFUSED if refused else Probe.UNREACHED
        except CallTimeout:
            return Probe.SLOW
        except TransportError:
            return Probe.UNREACHED
        return Probe.ANSWERED

    def _watches(self, owner: JobOwner) -> bool:
        return self._own_address in self._successors(owner.address, owner)[:CHECKING_VMS]

    def _successors(self, address: str, owner: JobOwner) -> list[str]:
        """Return the other VMs in the order of addresses, beginning after the given one."""
        ring = sorted({*self._directory.others(), self._own_address, owner.address})
        position = ring.index(address)
        return ring[position + 1 :] + ring[:position]

    def _is_confirmed_unreachable(self, owner: JobOwner) -> bool:
        """Ask other VMs whether they can reach the owner; the first one that answers decides.

        Without an answer, this VM may be the one that is cut off, so the lease must expire by
        itself.
        """
        others = [vm for vm in self._successors(self._own_address, owner) if vm != owner.address]
        for other in others[:MAX_CONFIRMING_VMS]:
            try:
                return not self._peer_client.send(other, ReachRequest(owner.address)).known
            except PeerError:
                continue  # it may have failed as well
        return False
