"""Checks that all guarantees fit into the workers together, also after the loss of one worker."""

import attrs

from lacewingmill.models import Role, Service, Shape, Vm, VmState
from lacewingmill.scheduling.messages import (
    GuaranteedSlots,
    GuaranteesChanged,
    SlotKey,
    TeamLimit,
    WorkerJoined,
    worker_info_from_vm,
)
from lacewingmill.scheduling.scheduler import Scheduler

__all__ = ["PackingReport", "build_guarantees_event", "check_packing"]


@attrs.frozen
class PackingReport:
    """Result of packing all guarantees into the workers, as one message per guarantee.

    :param shortfalls: guarantees that do not fit into the live workers beside the others.
    :param shortfalls_after_loss: guarantees that do not fit after the loss of one worker, for the
        first worker whose loss causes any; empty if ``shortfalls`` is not.
    """

    shortfalls: tuple[str, ...]
    shortfalls_after_loss: tuple[str, ...]


def build_guarantees_event(services: tuple[Service, ...]) -> GuaranteesChanged:
    """Build the scheduler event with all guarantees, team limits and shapes of the services."""
    slots = []
    limits = []
    shapes: dict[Shape, None] = {}
    for service in services:
        for shape in service.shapes:
            shapes[shape] = None
        for team in service.teams:
            limits.append(TeamLimit(service.name, team.name, team.max_accelerators))
            for guarantee in team.guarantees:
                key = SlotKey(service.name, team.name, guarantee.shape)
                shape = service.shape(guarantee.shape)
                slots.append(GuaranteedSlots(key, shape, guarantee.count))
    return GuaranteesChanged(tuple(slots), tuple(limits), tuple(shapes))


def check_packing(services: tuple[Service, ...], vms: tuple[Vm, ...]) -> PackingReport:
    """Pack all guarantees into the live workers of the VM list, and again without each worker."""
    workers = [vm for vm in vms if vm.role is Role.WORKER and vm.state is VmState.LIVE]
    guarantees = build_guarantees_event(services)
    shortfalls = _find_shortfalls(guarantees, workers)
    shortfalls_after_loss: tuple[str, ...] = ()
    if not shortfalls and guarantees.slots:
        for lost in workers:
            remaining = [vm for vm in workers if vm is not lost]
            shortfalls_after_loss = shortfalls_after_loss or _find_shortfalls(guarantees, remaining)
    return PackingReport(shortfalls, shortfalls_after_loss)


def _find_shortfalls(guarantees: GuaranteesChanged, workers: list[Vm]) -> tuple[str, ...]:
    scheduler = Scheduler()
    for vm in workers:
        scheduler.handle(WorkerJoined(worker_info_from_vm(vm)), 0.0)
    scheduler.handle(guarantees, 0.0)
    return tuple(
        f"service {slot.key.service}: teams.{slot.key.team}.guarantees.{slot.key.shape}: "
        f"{slot.shape.accelerators} accelerators do not fit beside the other guarantees"
        for slot in scheduler.slot_table.shortfalls()
    )
