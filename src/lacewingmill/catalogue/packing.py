"""Whether all guarantees pack into the workers together, and still do with one worker lost."""

import attrs

from lacewingmill.models import Role, Service, Shape, Vm, VmState
from lacewingmill.scheduling.messages import (
    GuaranteedSlots,
    GuaranteesChanged,
    SlotKey,
    TeamLimit,
    WorkerJoined,
    worker_node,
)
from lacewingmill.scheduling.scheduler import Scheduler

__all__ = ["PackingReport", "check_packing", "guarantees_of"]


@attrs.frozen
class PackingReport:
    """What packing the guarantees showed.

    :param missing: guarantees that do not fit together into the live workers.
    :param fragile: guarantees that do not fit once the worst single worker is lost.
    """

    shortfalls: tuple[str, ...]
    shortfalls_after_loss: tuple[str, ...]


def build_guarantees_event(services: tuple[Service, ...]) -> GuaranteesChanged:
    """Return the scheduler's event for a configuration."""
    slots = []
    limits = []
    mix: dict[Shape, None] = {}
    for service in services:
        for shape in service.shapes:
            mix[shape] = None
        for team in service.teams:
            limits.append(TeamLimit(service.name, team.name, team.max_accelerators))
            for guarantee in team.guarantees:
                key = SlotKey(service.name, team.name, guarantee.shape)
                shape = service.shape(guarantee.shape)
                slots.append(GuaranteedSlots(key, shape, guarantee.count))
    return GuaranteesChanged(tuple(slots), tuple(limits), tuple(mix))


def check_packing(services: tuple[Service, ...], vms: tuple[Vm, ...]) -> PackingReport:
    """Pack all guarantees into the live workers of the VM list."""
    workers = [vm for vm in vms if vm.role is Role.WORKER and vm.state is VmState.LIVE]
    guarantees = build_guarantees_event(services)
    shortfalls = _unpacked(guarantees, workers)
    shortfalls_after_loss: tuple[str, ...] = ()
    if not shortfalls and guarantees.slots:
        for lost in workers:
            left = [vm for vm in workers if vm is not lost]
            shortfalls_after_loss = shortfalls_after_loss or _unpacked(guarantees, left)
    return PackingReport(shortfalls, shortfalls_after_loss)


def _unpacked(guarantees: GuaranteesChanged, workers: list[Vm]) -> tuple[str, ...]:
    scheduler = Scheduler()
    for vm in workers:
        scheduler.handle(WorkerJoined(worker_node(vm)), 0.0)
    scheduler.handle(guarantees, 0.0)
    return tuple(
        f"service {slot.key.service}: teams.{slot.key.team}.guarantees.{slot.key.shape}: "
        f"{slot.shape.accelerators} accelerators do not fit beside the other guarantees"
        for slot in scheduler.slot_table.shortfalls()
    )
