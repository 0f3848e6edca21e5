"""The fleet as one VM sees it: the platform's VM list, which may lag, and heartbeats; does no I/O.

A VM counts as leaving as soon as the list marks it so or no longer contains it. An entry VM also
counts as leaving if its last heartbeat said so, even while the list still shows it as live.
"""

import attrs

from lacewingmill.models import Role, Vm, VmState

__all__ = ["FleetView", "PeerState"]

PEER_SILENT_AFTER_S = 3.0


@attrs.define
class PeerState:
    """The last heartbeat of another entry VM.

    :param received_at: clock time at which it was received, in seconds.
    :param revision: catalogue revision in force at the VM.
    :param leaving: whether the VM is stopping.
    :param ready: whether the VM is ready to serve clients.
    :param load: number of requests in flight at the VM.
    """

    received_at: float
    revision: int = 0
    leaving: bool = False
    ready: bool = True
    load: int = 0


class FleetView:
    """All VMs known to this VM, with the last heartbeat of each other entry VM.

    :param vm: name of this VM.
    """

    def __init__(self, vm: str):
        self._vm = vm
        self._vms: dict[str, Vm] = {}
        self._peers: dict[str, PeerState] = {}

    def update_vm_list(self, vms: tuple[Vm, ...]) -> list[Vm]:
        """Replace the VM list.

        :return: the VMs that were live in the previous list and are leaving or absent in this one.
        """
        previous = self._vms
        self._vms = {vm.name: vm for vm in vms}
        leaving = []
        for vm in previous.values():
            current = self._vms.get(vm.name)
            left = current is None or current.state is VmState.LEAVING
            if left and vm.state is VmState.LIVE:
                leaving.append(vm)
        return leaving

    def record_heartbeat(self, name: str, state: PeerState) -> bool:
        """Record a heartbeat of a peer.

        :param name: name of the peer.
        :return: whether it is the first one, or the first after a period of silence.
        """
        previous = self._peers.get(name)
        self._peers[name] = state
        return previous is None or state.received_at - previous.received_at > PEER_SILENT_AFTER_S

    def peer_state(self, name: str) -> PeerState | None:
        """Return the last heartbeat of another entry VM, or ``None`` if there was none."""
        return self._peers.get(name)

    def live_vms(self, role: Role, service: str = "") -> tuple[Vm, ...]:
        """Return the VMs that the list shows as live, sorted by name.

        :param role: role of the VMs.
        :param service: service that the VMs must run; empty for any.
        """
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
        """Return all workers of the list, including those that are leaving, sorted by name."""
        workers = (vm for vm in self._vms.values() if vm.role is Role.WORKER)
        return tuple(sorted(workers, key=lambda vm: vm.name))

    def peers(self) -> tuple[Vm, ...]:
        """Return the other entry VMs, including those that are leaving, sorted by name."""
        return tuple(
            vm
            for vm in sorted(self._vms.values(), key=lambda vm: vm.name)
            if vm.role is Role.ENTRY and vm.name != self._vm
        )

    def last_heartbeat_at(self) -> float | None:
        """Return the clock time of the last heartbeat of any peer, in seconds; ``None`` if none."""
        return max((state.received_at for state in self._peers.values()), default=None)

    def entry_rank(self, name: str, *, exclude: str = "") -> int:
        """Return the position of an entry VM in the order of candidates for owning a cell.

        Leaving VMs are no candidates; a VM that is no candidate ranks after all others.

        :param name: name of the entry VM.
        :param exclude: name of a VM to leave out, such as the last known owner.
        :return: the position, 0 for the first candidate.
        """
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
