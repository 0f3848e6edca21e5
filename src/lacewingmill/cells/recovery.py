"""Recovery of a cell by a new owner, from the lease tables of its workers."""

import attrs
import gevent

from lacewingmill.cells.driver import CellDriver
from lacewingmill.cells.gangs import Gang, gang_answer
from lacewingmill.cells.messages import JobPhase, JobReport, JobSpec, SubmitJob
from lacewingmill.codec import decode
from lacewingmill.exceptions import FenceRejected, TransportError
from lacewingmill.models import Vm, VmState
from lacewingmill.ports import Clock, LeaseState, WorkerLease, WorkerPort
from lacewingmill.scheduling.messages import (
    GangRecovered,
    Member,
    RunningGang,
    WorkerJoined,
    worker_info_from_vm,
)

__all__ = ["RecoveredCell", "recover_cell"]

RELEASE_TIMEOUT_S = 1.0
RECOVERED_DEADLINE_S = 24 * 3600.0  # until the job is submitted again


@attrs.define
class RecoveredCell:
    """Result of a recovery.

    :param running: number of gangs adopted.
    :param ended: number of jobs whose outcome was recorded.
    :param answered: workers whose lease table was read.
    """

    running: int = 0
    ended: int = 0
    answered: tuple[str, ...] = ()


def recover_cell(
    driver: CellDriver, workers: WorkerPort, clock: Clock, vms: tuple[Vm, ...]
) -> RecoveredCell:
    """Read every worker's lease table under the new fence and adopt the gangs that are complete.

    A gang is complete if all its members are running.

    Workers that answer reject earlier owners from then on. All other gangs are released.

    :param vms: the workers of the cell.
    :raises FenceRejected: another VM has taken over with a higher fence.
    """
    tables = _read_tables(driver, workers, vms)
    recovered = RecoveredCell(answered=tuple(tables))
    for vm in vms:
        if vm.name in tables:
            _add_worker(driver, vm)
    gangs: dict[str, dict[str, WorkerLease]] = {}
    for worker, leases in tables.items():
        driver.record_lease_table(worker, leases)
        for lease in leases:
            gangs.setdefault(lease.gang, {})[worker] = lease
    incomplete = [
        (gang_id, worker)
        for gang_id, members in gangs.items()
        if not _recover_gang(driver, clock, recovered, gang_id, members)
        for worker in members
    ]
    _release_incomplete(driver, workers, vms, incomplete)
    return recovered


def _release_incomplete(
    driver: CellDriver, workers: WorkerPort, vms: tuple[Vm, ...], incomplete: list[tuple[str, str]]
) -> None:
    """Release the members of gangs that were not adopted."""
    by_name = {vm.name: vm for vm in vms}
    calls = [
        gevent.spawn(_release, driver, workers, by_name[worker], gang_id)
        for gang_id, worker in incomplete
    ]
    gevent.joinall(calls)


def _release(driver: CellDriver, workers: WorkerPort, vm: Vm, gang_id: str) -> None:
    try:
        workers.release(vm, gang_id, driver.fence, checkpoint=False, timeout_s=RELEASE_TIMEOUT_S)
    except (FenceRejected, TransportError):
        return  # the worker watch will find the orphan and release it


def _read_tables(
    driver: CellDriver, workers: WorkerPort, vms: tuple[Vm, ...]
) -> dict[str, tuple[WorkerLease, ...]]:
    calls = {vm.name: gevent.spawn(_read_table, driver, workers, vm) for vm in vms}
    gevent.joinall(calls.values())
    tables = {}
    for name, call in calls.items():
        if isinstance(call.value, FenceRejected):
            raise call.value
        if call.value is not None:
            tables[name] = call.value
    return tables


def _read_table(
    driver: CellDriver, workers: WorkerPort, vm: Vm
) -> tuple[WorkerLease, ...] | FenceRejected | None:
    try:
        return workers.sync(vm, driver.fence, (), after=-1, wait_s=0.0).leases
    except FenceRejected as exc:
        return exc
    except TransportError:
        return None


def _add_worker(driver: CellDriver, vm: Vm) -> None:
    driver.watch.mark_live(vm)
    driver.handle_event(WorkerJoined(worker_info_from_vm(vm), vm.state is VmState.LEAVING))


def _recover_gang(
    driver: CellDriver,
    clock: Clock,
    recovered: RecoveredCell,
    gang_id: str,
    members: dict[str, WorkerLease],
) -> bool:
    """Adopt a gang or record its outcome.

    :param members: its known leases, by worker.
    :return: whether the gang was adopted; otherwise its members are to be released.
    """
    any_member = next(iter(members.values()))
    spec = decode(any_member.spec, JobSpec)
    submission = SubmitJob(spec.job, spec.key, b"", "", RECOVERED_DEADLINE_S)
    first = members.get(any_member.members[0])
    if first is not None and first.state == LeaseState.DONE:
        answer = gang_answer(first.result, any_member.members[0])
        driver.record_outcome(submission, JobReport(spec.job.job_id, JobPhase.DONE, answer))
        recovered.ended += 1
        return False
    all_running = len(members) == len(any_member.members) and all(
        lease.state == LeaseState.RUNNING for lease in members.values()
    )
    if all_running:
        _adopt_running(driver, clock, gang_id, spec, submission, members)
        recovered.running += 1
        return True
    executed = any(lease.executed for lease in members.values())
    all_reported = len(members) == len(any_member.members)
    if not spec.job.idempotent and (executed or not all_reported):
        reason = "the gang was incomplete when the owner of the cell changed"
        report = JobReport(spec.job.job_id, JobPhase.UNKNOWN, reason=reason, step="recover")
        driver.record_outcome(submission, report)
        recovered.ended += 1
    return False


def _adopt_running(
    driver: CellDriver,
    clock: Clock,
    gang_id: str,
    spec: JobSpec,
    submission: SubmitJob,
    members: dict[str, WorkerLease],
) -> None:
    workers = next(iter(members.values())).members
    placement = tuple(Member(worker, members[worker].accelerators) for worker in workers)
    now = clock.now()
    started_at = now - max(0.0, clock.wall() - spec.started_wall)
    gang = Gang(gang_id, spec.job.job_id, placement, started=True, started_at=started_at)
    gang.acked_at = dict.fromkeys(gang.workers, now)
    driver.adopt(submission, gang, spec.done_s)
    driver.handle_event(
        GangRecovered(RunningGang(spec.job, placement, spec.guaranteed, started_at, spec.done_s))
    )
