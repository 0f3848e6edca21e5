"""The state of a cell that the planners share, and the steps that change it."""

from collections.abc import Callable

import attrs

from lacewingmill.models import Adjacency, Shape
from lacewingmill.scheduling.cluster import Block, Cluster, Node
from lacewingmill.scheduling.guarantees import Slot, SlotTable
from lacewingmill.scheduling.messages import Action, EvictGang, Job, StartGang
from lacewingmill.scheduling.order import OrderRules
from lacewingmill.scheduling.placement import PackingScorer
from lacewingmill.scheduling.records import JobRecord, JobState
from lacewingmill.scheduling.reservation import BackfillReservation
from lacewingmill.scheduling.run_times import RunTimeEstimator
from lacewingmill.scheduling.suspects import FailureRules, FailureTracker

__all__ = ["HELD_STATES", "CellState"]

BEYOND_RESERVED_RANK = 0.25
TIGHTNESS_RANK = 0.05
DOUBTFUL_RANK = 100.0
REMOTE_RANK = 30.0
UNLIMITED_UNITS = 1 << 30
# Work across racks takes about three times as long; a job of ten seconds gains by waiting less than
# that. On a cluster that is mostly idle no rack will get emptier by waiting.
RACK_PATIENCE_S = 10.0
RACK_PATIENCE_IDLE_S = 2.0
HELD_STATES = (JobState.STARTING, JobState.RUNNING, JobState.EVICTING)


class SchedulerState:
    """Jobs, accelerators, guarantees and what was learned.

    :param rules: order, reservation and healing of borrowed work.
    :param failure_rules: when failures are held against a worker or a job.
    """

    def __init__(self, rules: OrderRules, failure_rules: FailureRules):
        self.rules = rules
        self.cluster = Cluster()
        self.slot_table = SlotTable(self.cluster)
        self.records: dict[str, JobRecord] = {}
        self.queue: dict[str, JobRecord] = {}
        self.pending_claims: dict[str, JobRecord] = {}
        self.run_times = RunTimeEstimator()
        self.failures = FailureTracker(failure_rules)
        self.configured_shapes: tuple[Shape, ...] = ()
        self.packing = PackingScorer(self.cluster, ())
        self.limits: dict[tuple[str, str], int] = {}
        self.held: dict[tuple[str, str], int] = {}
        self.urgent_at = float("-inf")
        self.quotas: dict[tuple[str, str], int] = {}
        self.reservation: BackfillReservation | None = None
        self.moving: set[str] = set()
        self.silent: set[str] = set()
        self.leaving: set[str] = set()
        self.actions: list[Action] = []

    def start(self, record: JobRecord, block: Block, now: float) -> None:
        """Start a job on a block."""
        job = record.job
        if record.slot is None and not job.evictable:
            record.protected = True
            self.slot_table.count_protected(job.shape, block, 1)
        record.block = ()
        record.placement = self.cluster.allocate(job.job_id, job.shape, block)
        record.state = JobState.STARTING
        record.started_at = now
        record.blocked_by = ""
        self.count_held(job, 1)
        kind = "its guarantee" if record.slot is not None else "borrowed accelerators"
        record.note(now, f"placed on {', '.join(record.workers)} on {kind}")
        self.actions.append(StartGang(job.job_id, record.placement, record.slot is not None))

    def requeue(self, record: JobRecord, now: float, why: str) -> None:
        """Take back what a job holds and let it wait again."""
        self.vacate(record)
        record.state = JobState.QUEUED
        record.note(now, f"{why}; waits again")
        self.queue[record.job.job_id] = record

    def evict(self, record: JobRecord, for_job: str, now: float) -> None:
        """Order a gang to give its accelerators back."""
        record.state = JobState.EVICTING
        record.note(now, f"evicted for {for_job}")
        self.actions.append(EvictGang(record.job.job_id, for_job, record.job.checkpoint))

    def end(self, record: JobRecord) -> None:
        """Forget a job that is over."""
        self.vacate(record)
        self.queue.pop(record.job.job_id, None)
        self.moving.discard(record.job.job_id)
        del self.records[record.job.job_id]

    def vacate(self, record: JobRecord) -> None:
        """Give back whatever a job holds; a claimed slot's block becomes its reservation again."""
        job = record.job
        block = record.block or record.held_block
        if record.block:
            self.count_pending(job.shape, record.block, -1)
            self.pending_claims.pop(job.job_id, None)
        if record.state in HELD_STATES:
            self.cluster.release(job.job_id, job.shape, record.workers)
            self.count_held(job, -1)
        if record.protected:
            self.slot_table.count_protected(job.shape, block, -1)
        slot, was_hard = record.slot, record.protected
        record.block, record.placement, record.slot, record.protected = (), (), None, False
        if slot is not None:
            slot.holder = ""
            self._return_slot(slot, block)
        if was_hard:
            self.slot_table.fill_shortfalls()  # what it held may be what a slot in shortfall lacks

    def drop_member(self, record: JobRecord, worker: str) -> None:
        """Give back what a gang held on a lost worker, and its guarantee with it."""
        shape = record.job.shape
        lost = tuple(part for part in record.held_block if part.worker == worker)
        self.cluster.release(record.job.job_id, shape, (worker,))
        if record.protected:
            self.slot_table.count_protected(shape, lost, -1)
        record.placement = tuple(member for member in record.placement if member.worker != worker)
        if record.slot is not None:
            record.slot.holder = ""
            record.slot = None

    def drop_pending_on(self, worker: str, now: float) -> None:
        """Queue the claims anew whose block uses a worker."""
        for record in list(self.pending_claims.values()):
            if any(part.worker == worker for part in record.block):
                self.requeue(record, now, f"worker {worker} went while it was being cleared")

    def cordon_worker(self, worker: str, now: float) -> None:
        """Give a worker nothing new, and move reservations and pending claims off it."""
        self.cluster.cordon(worker)
        self.slot_table.unreserve_worker(worker)
        self.slot_table.fill_shortfalls()
        self.drop_pending_on(worker, now)
        self.reservation = None

    def mark_leaving(self, worker: str, now: float) -> None:
        """Close a worker that is leaving; its gangs run on, and no job is to wait for it."""
        self.leaving.add(worker)
        self.cluster.forget(worker)
        self.cordon_worker(worker, now)

    def uncordon_worker(self, worker: str) -> None:
        """Let placements use a worker again, unless another cause keeps it closed."""
        cordoned = worker in self.silent or worker in self.leaving
        if cordoned or self.failures.quarantined(worker) or worker not in self.cluster.nodes:
            return
        self.cluster.uncordon(worker)
        self.slot_table.fill_shortfalls()

    def _return_slot(self, slot: Slot, block: Block) -> None:
        if slot.retired:
            return
        nodes = [self.cluster.nodes.get(part.worker) for part in block]
        if all(node is not None and self.cluster.schedulable(node) for node in nodes):
            self.slot_table.reserve(slot, block)
            return
        self.slot_table.fill_shortfalls()

    def free_now(self, shape: Shape, block: Block) -> bool:
        """Whether a block is free at this moment."""
        return all(
            self.cluster.nodes[part.worker].free_units(shape) >= part.units for part in block
        )

    def count_pending(self, shape: Shape, block: Block, sign: int) -> None:
        """Count a block as taken by a pending claim, or no more (``sign`` -1)."""
        for part in block:
            node = self.cluster.nodes.get(part.worker)
            if node is not None:
                node.pending.add(shape, sign * part.units)

    def count_held(self, job: Job, sign: int) -> None:
        """Count a job's accelerators for its team's limit."""
        key = (job.service, job.team)
        self.held[key] = self.held.get(key, 0) + sign * job.shape.accelerators

    def over_limit(self, job: Job) -> bool:
        """Whether a job would take its team over its limit."""
        limit = self.limits.get((job.service, job.team))
        if not limit:
            return False
        held = self.held.get((job.service, job.team), 0)
        return held + job.shape.accelerators > limit

    def expected_s(self, job: Job) -> float:
        """Return a job's expected run time, in seconds."""
        if not self.rules.use_learned_run_times:
            return job.shape.expected_s
        return self.run_times.estimate(job.service, job.shape.name, job.shape.expected_s)

    def remaining_s(self, record: JobRecord, now: float) -> float:
        """Return how long a running job is expected to go on, in seconds."""
        job = record.job
        elapsed = now - record.started_at + record.done_s
        return self.run_times.estimate_remaining(
            job.service, job.shape.name, job.shape.expected_s, elapsed
        )

    def starves(self, record: JobRecord, now: float) -> bool:
        """Whether a wide gang has waited so long that it gets a reservation."""
        return (
            record.job.shape.accelerators > 1
            and self.out_of_patience(record.job, now)
            and not self.over_limit(record.job)
        )

    def out_of_patience(self, job: Job, now: float) -> bool:
        """Whether a job has waited for long, compared with its run time."""
        rules = self.rules
        patience = max(
            rules.min_reservation_wait_s, rules.reservation_wait_factor * self.expected_s(job)
        )
        return now - job.submitted_at >= patience

    def cautious(self, job: Job, now: float) -> bool:
        """Whether a job keeps off workers that have failed jobs: it cannot be run again."""
        return not job.idempotent and not self.out_of_patience(job, now)

    def placement_cost(self, job: Job) -> Callable[[Node, int], float]:
        """Return the cost of a job's placements.

        Counted are what gangs can no longer use, reserved blocks, tightness, workers that have
        failed jobs and workers away from the job's data.
        """
        size = job.shape.unit_accelerators

        def rank(node: Node, units: int) -> float:
            taken = units * size
            left = len(node.free) - taken
            beyond = max(0, node.reserved.accelerators - left)
            cost = self.packing.loss(node, taken)
            cost += BEYOND_RESERVED_RANK * beyond + TIGHTNESS_RANK * left
            if self.failures.is_suspect(node.info.worker):
                cost += DOUBTFUL_RANK
            if job.needs.rack and job.needs.rack != node.info.rack:
                cost += REMOTE_RANK
            return cost

        return rank

    def placed_shapes(self, job: Job, now: float) -> tuple[Shape, ...]:
        """Return the shapes in which a job may be placed now, best first."""
        if not job.needs.same_rack:
            return (job.shape,)
        near = attrs.evolve(job.shape, adjacency=Adjacency.RACK)
        if not self.cluster.fits_when_empty(near):
            return (job.shape,)
        waited_s = now - job.submitted_at
        idle = 2 * self.cluster.free_accelerators > self.cluster.total_accelerators
        patience_s = RACK_PATIENCE_IDLE_S if idle else RACK_PATIENCE_S
        return (near, job.shape) if waited_s > patience_s else (near,)

    def needs_units(self, job: Job, node: Node, now: float) -> int:
        """Return how many members of a job a worker may take by what the job needs of workers."""
        needs = job.needs
        if needs.only is not None and node.info.worker not in needs.only:
            return 0
        if needs.label and needs.label not in node.info.labels:
            return 0
        if needs.rack and needs.rack != node.info.rack and not self.out_of_patience(job, now):
            return 0
        if not needs.max_per_worker:
            return UNLIMITED_UNITS
        present = sum(
            units
            for job_id, units in node.members.items()
            if self.records[job_id].job.needs.group == needs.group
        )
        return max(0, needs.max_per_worker - present)
