"""The VMs that may help each other, kept in the store."""

import attrs
import msgspec

from lacewingmill.codec import decode, encode
from lacewingmill.events import EventLog, LogEvent
from lacewingmill.exceptions import LeaseEnded, StoreUnavailable
from lacewingmill.jobs.keys import VM_PREFIX
from lacewingmill.jobs.ports import Put, Transaction, TransactionStore
from lacewingmill.ports import Clock

__all__ = ["VmAddress", "VmDirectory"]

REFRESH_S = 8.0
# A VM that is gone is listed for so long at most; the lease outlasts two renewals.
LEASE_S = 20.0
RETRY_S = 0.5


@attrs.frozen
class VmAddress:
    """Where a VM answers other VMs, as ``host:port``."""

    address: str


class VmDirectory:
    """Registers this VM under a lease and knows the others.

    :param address: ``host:port`` at which this VM answers others.
    """

    def __init__(self, store: TransactionStore, clock: Clock, log: EventLog, vm: str, address: str):
        self._store = store
        self._clock = clock
        self._log = log
        self._vm = vm
        self._address = address
        self._others: list[str] = []
        self._lease = 0
        self._listed = False
        self._left = False

    def others(self) -> list[str]:
        """Return the addresses of the other VMs, some of which may be gone."""
        return list(self._others)

    def run(self) -> None:
        """Register, and refresh the list until this VM leaves."""
        while not self._left:
            try:
                self._keep_registered()
                self._refresh()
            except LeaseEnded:
                self._lease = 0  # an outage was longer than the lease
            except StoreUnavailable:
                self._clock.sleep(RETRY_S)
            else:
                self._clock.sleep(REFRESH_S if self._listed else RETRY_S)

    def unregister(self) -> None:
        """Take this VM off the list at a planned stop."""
        self._left = True
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
        self._clock.sleep(RETRY_S)  # the others start at the same time

    def _refresh(self) -> None:
        records, _ = self._store.scan(VM_PREFIX)
        addresses = []
        for record in records:
            try:
                addresses.append(decode(record.value, VmAddress).address)
            except msgspec.DecodeError:
                continue  # written by another version; it is no VM to ask
        self._listed = self._address in addresses
        self._others = [address for address in addresses if address != self._address]
