"""Notices an owner that has died without a trace, sooner than its lease lapses."""

from lacewingmill.exceptions import ConnectFailed, PeerError, TransportError
from lacewingmill.jobs.directory import VmDirectory
from lacewingmill.jobs.election import JobElector, JobOwner
from lacewingmill.jobs.peers import AliveRequest, PeerClient, ReachRequest
from lacewingmill.ports import Clock

__all__ = ["OwnerWatch"]

# With two failed checks and a second opinion, a death is noticed in about a second.
CHECK_EVERY_S = 0.3
RECHECK_AFTER_S = 0.05
FAILED_CHECKS = 2
# VMs that check the owner: one may be cut off or gone itself.
WATCHERS = 2
# VMs that are asked for a second opinion until one gives it.
OPINIONS_ASKED = 2


class OwnerWatch:
    """Checks the owner from the VMs that follow it in the order of addresses.

    The lease of an owner is ended only when another VM does not reach it either. An owner that
    lives on nevertheless may send orders until its own time is over, which its successor is told.

    :param me: ``host:port`` at which this VM answers others.
    """

    def __init__(
        self,
        me: str,
        elector: JobElector,
        calls: PeerClient,
        directory: VmDirectory,
        clock: Clock,
    ):
        self._me = me
        self._elector = elector
        self._calls = calls
        self._directory = directory
        self._clock = clock
        self._failed = 0

    def run(self) -> None:
        """Check for ever."""
        while True:
            self._clock.sleep(RECHECK_AFTER_S if self._failed else CHECK_EVERY_S)
            owner = self._elector.owner
            if owner is None or not self._watches(owner):
                self._failed = 0
                continue
            self._check(owner)

    def reaches(self, address: str) -> bool:
        """Whether the VM at an address answers this one."""
        return self._probe(address) == 0

    def _check(self, owner: JobOwner) -> None:
        failed = self._probe(owner.address)
        if not failed:
            self._failed = 0
            return
        self._failed += failed
        if self._failed < FAILED_CHECKS:
            return
        self._failed = 0
        if self._others_fail_too(owner):
            self._elector.replace(owner)

    def _probe(self, address: str) -> int:
        """Return 0 when a VM answers, else how many failed checks that is worth.

        A refused connection proves that no process listens there, so it is worth all of them; one
        that takes too long may be a lost packet.
        """
        try:
            self._calls.send(address, AliveRequest())
        except ConnectFailed as exc:
            return FAILED_CHECKS if isinstance(exc.__cause__, ConnectionRefusedError) else 1
        except TransportError:
            return 1
        return 0

    def _watches(self, owner: JobOwner) -> bool:
        return self._me in self._following(owner.address, owner)[:WATCHERS]

    def _following(self, address: str, owner: JobOwner) -> list[str]:
        """Return the VMs that follow an address in the ring of all."""
        ring = sorted({*self._directory.others(), self._me, owner.address})
        at = ring.index(address)
        return ring[at + 1 :] + ring[:at]

    def _others_fail_too(self, owner: JobOwner) -> bool:
        """Ask other VMs whether they reach the owner; the first that answers decides.

        Without an answer this VM may be the one that is cut off, and the lease has to lapse.
        """
        others = [vm for vm in self._following(self._me, owner) if vm != owner.address]
        for other in others[:OPINIONS_ASKED]:
            try:
                return not self._calls.send(other, ReachRequest(owner.address)).known
            except PeerError:
                continue  # it may be gone as well
        return False
