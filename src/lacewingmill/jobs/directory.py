"""The addresses at which VMs answer each other, registered in the store."""

import random

import attrs

from lacewingmill.codec import decode, encode
from lacewingmill.events import EventLog, LogEvent
from lacewingmill.exceptions import LeaseEnded, MessageInvalid, StoreUnavailable
from lacewingmill.jobs.keys import VM_PREFIX
from lacewingmill.jobs.ports import Put, Transaction, TransactionStore
from lacewingmill.ports import Clock
from lacewingmill.retries import Backoff

__all__ = ["VmAddress", "VmDirectory"]

REFRESH_S = 8.0
# A dead VM stays listed for at most this time. It is longer than two renewal intervals.
LEASE_S = 20.0
RETRY_S = 0.5
MAX_RETRY_S = 2.0


@attrs.frozen
class VmAddress:
    """The registration of a VM.

    :param address: ``host:port`` at which it answers other VMs.
    """

    address: str


class VmDirectory:
    """Registers this VM under a lease and lists the other VMs.

    :param address: ``host:port`` at which this VM answers other VMs.
    """

    def __init__(
        self,
        store: TransactionStore,
        clock: Clock,
        log: EventLog,
        vm: str,
        address: str,
        rng: random.Random,
    ):
        self._store = store
        self._clock = clock
        self._log = log
        self._vm = vm
        self._address = address
        self._backoff = Backoff(RETRY_S, MAX_RETRY_S, rng)
        self._others: list[str] = []
        self._lease = 0
        self._listed = False
        self._unregistered = False

    def others(self) -> list[str]:
        """Return the addresses of the other VMs; some of them may have ended."""
        return list(self._others)

    def run(self) -> None:
        """Keep this VM registered and refresh the list until :meth:`unregister` is called."""
        while not self._unregistered:
            try:
                self._keep_registered()
                self._refresh()
            except LeaseEnded:
                self._lease = 0  # the lease lapsed during an outage
            except StoreUnavailable:
                self._clock.sleep(self._backoff.next_s())
            else:
                self._backoff.reset()
                self._clock.sleep(REFRESH_S if self._listed else RETRY_S)

    def unregister(self) -> None:
        """Remove this VM from the list at a planned stop.

        A registration that cannot be removed now is removed when its lease lapses.
        """
        self._unregistered = True
        if not self._lease:
            return
        try:
            self._store.end(self._lease)
        except StoreUnavailable as exc:
            self._log.emit(LogEvent.VM_ENTRY_KEPT, reason=exc.message)

    def _keep_registered(self) -> None:
        if self._lease and self._listed:
            self._store.renew(self._lease)
            return
        lease = self._lease or self._store.grant(LEASE_S).lease
        put = Put(VM_PREFIX + self._vm, encode(VmAddress(self._address)), lease)
        self._store.commit(Transaction(puts=(put,)))
        self._lease = lease
        self._clock.sleep(RETRY_S)  # so that VMs that start at the same time are listed

    def _refresh(self) -> None:
        records, _ = self._store.scan(VM_PREFIX)
        addresses = []
        for record in records:
            try:
                addresses.append(decode(record.value, VmAddress).address)
            except MessageInvalid:
                continue  # written by another version, which cannot be called
        self._listed = self._address in addresses
        self._others = [address for address in addresses if address != self._address]
