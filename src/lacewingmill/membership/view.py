"""The fleet as one VM sees it: the lagging list joined with own signals; no I/O.

A VM counts as leaving from the earliest sign: the list says so, it is gone from the list, or it
said so itself in a heartbeat. A sign of its own outlasts an older list.
"""

import attrs

from lacewingmill.models import Role, Vm, VmState

__all__ = ["FleetView", "PeerState"]

PEER_SILENT_S = 3.0


@attrs.define
class PeerState:
    """What heartbeats told about another entry VM.

    :param heard_at: time of its last answer, in seconds.
    :param leaving: whether it said that it is stopping.
    :param ready: whether it said that it serves callers.
    """

    heard_at: float
    revision: int = 0
    leaving: bool = False
    ready: bool = True
    load: int = 0


class FleetView:
    """All VMs known to this one.

    :param vm: name of this VM.
    """

    def __init__(self, vm: str):
        self._vm = vm
        self._vms: dict[str, Vm] = {}
        self._peers: dict[str, PeerState] = {}

    def update_vm_list(self, vms: tuple[Vm, ...]) -> list[Vm]:
        """Take in the platform's list and return the targets that are leaving now."""
        before = self._vms
        self._vms = {vm.name: vm for vm in vms}
        leaving = []
        for vm in before.values():
            now = self._vms.get(vm.name)
            gone = now is None or now.state is VmState.LEAVING
            if gone and vm.state is VmState.LIVE:
                leaving.append(vm)
        return leaving

    def record_heartbeat(self, name: str, state: PeerState) -> bool:
        """Take in a heartbeat; return whether the peer had been silent."""
        before = self._peers.get(name)
        self._peers[name] = state
        return before is None or state.heard_at - before.heard_at > PEER_SILENT_S

    def peer_state(self, name: str) -> PeerState | None:
        """Return what heartbeats told about an entry VM."""
        return self._peers.get(name)

    def live_vms(self, role: Role, service: str = "") -> tuple[Vm, ...]:
        """Return the live VMs of a role, executors of one service, sorted by name."""
        return tuple(
            sorted(
                (
                    vm
                    for vm in self._vms.values()
                    if vm.role is role
                    and vm.state is VmState.LIVE
                    and (not service or vm.service == service)
                ),
                key=lambda vm: vm.name,
            )
        )

    def workers(self) -> tuple[Vm, ...]:
        """Return the workers of the list, also the leaving ones, sorted by name."""
        workers = (vm for vm in self._vms.values() if vm.role is Role.WORKER)
        return tuple(sorted(workers, key=lambda vm: vm.name))

    def peers(self) -> tuple[Vm, ...]:
        """Return the other entry VMs, also those the list calls leaving."""
        return tuple(
            vm
            for vm in sorted(self._vms.values(), key=lambda vm: vm.name)
            if vm.role is Role.ENTRY and vm.name != self._vm
        )

    def last_heartbeat_at(self) -> float | None:
        """Return when any peer was heard last, in seconds; ``None`` if never."""
        return max((state.heard_at for state in self._peers.values()), default=None)

    def entry_rank(self, name: str, *, exclude: str = "") -> int:
        """Return the position of an entry VM among the entry VMs that may own a cell."""
        names = sorted(
            vm.name
            for vm in self._vms.values()
            if vm.role is Role.ENTRY
            and vm.state is VmState.LIVE
            and vm.name != exclude
            and not (vm.name in self._peers and self._peers[vm.name].leaving)
        )
        return names.index(name) if name in names else len(names)

    def all_vms(self) -> tuple[Vm, ...]:
        """Return all VMs of the list."""
        return tuple(self._vms.values())
