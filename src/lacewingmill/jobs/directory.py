"""The VMs that may help each other, kept in the store."""

import attrs
import msgspec

from lacewingmill.codec import decode, encode
from lacewingmill.exceptions import StoreUnavailable
from lacewingmill.jobs.keys import VM_PREFIX
from lacewingmill.jobs.ports import Put, Transaction, TransactionStore
from lacewingmill.ports import Clock

__all__ = ["VmAddress", "VmDirectory"]

REFRESH_S = 8.0
RETRY_S = 0.5


@attrs.frozen
class VmAddress:
    """Where a VM answers other VMs, as ``host:port``."""

    address: str


class VmDirectory:
    """Registers this VM and knows the others.

    :param address: ``host:port`` at which this VM answers others.
    """

    def __init__(self, store: TransactionStore, clock: Clock, vm: str, address: str):
        self._store = store
        self._clock = clock
        self._vm = vm
        self._address = address
        self._others: list[str] = []

    def others(self) -> list[str]:
        """Return the addresses of the other VMs, some of which may be gone."""
        return list(self._others)

    def run(self) -> None:
        """Register, and refresh the list for ever."""
        registered = False
        while True:
            try:
                if not registered:
                    self._register()
                    registered = True
                self._refresh()
            except StoreUnavailable:
                self._clock.sleep(RETRY_S)
                continue
            self._clock.sleep(REFRESH_S)

    def _register(self) -> None:
        value = encode(VmAddress(self._address))
        self._store.commit(Transaction(puts=(Put(VM_PREFIX + self._vm, value),)))
        self._clock.sleep(RETRY_S)  # the others start at the same time

    def _refresh(self) -> None:
        records, _ = self._store.scan(VM_PREFIX)
        others = []
        for record in records:
            try:
                address = decode(record.value, VmAddress).address
            except msgspec.DecodeError:
                continue  # written by another version; it is no VM to ask
            if address != self._address:
                others.append(address)
        self._others = others
