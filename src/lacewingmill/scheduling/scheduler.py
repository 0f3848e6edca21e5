"""The decision core of a cell: typed events in, typed actions out, no I/O.

The owner of a cell and the bench drive the same object. Time is passed in with every event.
"""

from functools import singledispatchmethod

from lacewingmill.models import Shape
from lacewingmill.scheduling.cluster import Block, Cluster, Node
from lacewingmill.scheduling.guarantees import Slot, SlotBook
from lacewingmill.scheduling.healing import Move, plan_compaction, plan_moves
from lacewingmill.scheduling.messages import (
    Action,
    Event,
    EvictGang,
    FailJob,
    GangRecovered,
    GangRejected,
    GangReleased,
    GangStarted,
    GuaranteesChanged,
    Job,
    JobCancelled,
    JobFailed,
    JobFinished,
    JobSubmitted,
    RefuseJob,
    StartGang,
    StopGang,
    Tick,
    WorkerAnswered,
    WorkerJoined,
    WorkerLost,
    WorkerSilent,
    block_name,
)
from lacewingmill.scheduling.order import OrderRules, priority
from lacewingmill.scheduling.placement import PackingValue, PlacementRules, find_block
from lacewingmill.scheduling.reclaim import plan_reclaim
from lacewingmill.scheduling.records import JobRecord, JobState
from lacewingmill.scheduling.reservation import Reservation, plan_reservation
from lacewingmill.scheduling.runtimes import RunTimes
from lacewingmill.scheduling.suspects import FailureBook

__all__ = ["Scheduler"]

BEYOND_RESERVED_RANK = 0.25
HEAL_EVERY_S = 1.0
TIGHTNESS_RANK = 0.05
DOUBTFUL_RANK = 100.0
HELD_STATES = (JobState.STARTING, JobState.RUNNING, JobState.EVICTING)


class Scheduler:
    """Decides which gang runs where.

    :param rules: order, reservation and healing of borrowed work.
    :param fragmentation_weight: how much the deployment weighs fragmentation, 0..1.
    """

    def __init__(self, rules: OrderRules | None = None, fragmentation_weight: float = 0.5):
        self.cluster = Cluster()
        self.book = SlotBook(self.cluster)
        self.records: dict[str, JobRecord] = {}
        self.run_times = RunTimes()
        self.failures = FailureBook()
        self.mix: tuple[Shape, ...] = ()
        self._rules = rules or OrderRules()
        self._fragmentation_weight = fragmentation_weight
        self._packing = PackingValue(self.cluster, ())
        self._limits: dict[tuple[str, str], int] = {}
        self._held: dict[tuple[str, str], int] = {}
        self._queue: dict[str, JobRecord] = {}
        self._pending: dict[str, JobRecord] = {}
        self._reservation: Reservation | None = None
        self._moving: dict[str, str] = {}
        self._silent: set[str] = set()
        self._heal_at = 0.0
        self._actions: list[Action] = []

    def handle(self, event: Event, now: float) -> list[Action]:
        """Take in an event and return what to do.

        :param now: present time, in seconds.
        """
        self._apply(event, now)
        self._open_probes(now)
        self._start_pending(now)
        self._place_claims(now)
        self._place_borrowed(now)
        if self._rules.heal:
            self._heal(now)
        actions, self._actions = self._actions, []
        return actions

    @property
    def queued(self) -> int:
        """Number of waiting jobs."""
        return len(self._queue)

    @singledispatchmethod
    def _apply(self, event: Event, now: float) -> None:
        raise TypeError(f"unknown event {type(event).__name__}")

    @_apply.register
    def _(self, event: Tick, now: float) -> None:
        pass

    @_apply.register
    def _(self, event: JobSubmitted, now: float) -> None:
        job = event.job
        if job.job_id in self.records:
            return
        reason = self._impossible(job)
        if reason:
            self._actions.append(RefuseJob(job.job_id, reason))
            return
        record = JobRecord(job)
        self.records[job.job_id] = record
        self._queue[job.job_id] = record

    @_apply.register
    def _(self, event: JobCancelled, now: float) -> None:
        record = self.records.get(event.job_id)
        if record is None:
            return
        if record.state is JobState.EVICTING:
            record.cancelled = True
            return
        running = record.state in HELD_STATES
        self._end(record)
        if running:
            self._actions.append(StopGang(event.job_id, "cancelled by the caller"))

    @_apply.register
    def _(self, event: GangStarted, now: float) -> None:
        record = self.records.get(event.job_id)
        if record is None or record.state is not JobState.STARTING:
            return
        record.state = JobState.RUNNING
        record.started_at = now
        record.note(now, "all members run")

    @_apply.register
    def _(self, event: GangRejected, now: float) -> None:
        record = self.records.get(event.job_id)
        if record is None or record.state not in HELD_STATES:
            return
        if not event.silent:
            self._count_failure(record, event.worker, now)
        self._requeue(record, now, f"worker {event.worker} did not take its part")

    @_apply.register
    def _(self, event: GangReleased, now: float) -> None:
        record = self.records.get(event.job_id)
        if record is None or record.state is not JobState.EVICTING:
            return
        record.done_s += event.saved_s
        self._moving.pop(event.job_id, None)
        if record.cancelled:
            self._end(record)
            return
        self._requeue(record, now, "gave its accelerators back")

    @_apply.register
    def _(self, event: JobFinished, now: float) -> None:
        record = self.records.get(event.job_id)
        if record is None:
            return
        job = record.job
        self.run_times.learn(job.service, job.shape.name, job.shape.expected_s, event.run_s)
        self.failures.succeed(job.job_id, record.workers)
        self._end(record)

    @_apply.register
    def _(self, event: JobFailed, now: float) -> None:
        record = self.records.get(event.job_id)
        if record is None:
            return
        bad_job = self._count_failure(record, event.worker, now)
        if record.job.idempotent and not bad_job:
            self._requeue(record, now, f"failed on worker {event.worker}")
            return
        self.failures.forget_job(event.job_id)
        self._end(record)
        self._actions.append(FailJob(event.job_id, f"failed on worker {event.worker}"))

    @_apply.register
    def _(self, event: WorkerJoined, now: float) -> None:
        if event.node.worker in self.cluster.nodes:
            return
        self.cluster.add(event.node)
        self.book.home_all()
        self._reservation = None

    @_apply.register
    def _(self, event: WorkerLost, now: float) -> None:
        node = self.cluster.nodes.get(event.worker)
        if event.left:
            self.cluster.forget(event.worker)
        if node is None:
            return
        self._drop_pending_on(event.worker, now)
        for job_id in list(node.gangs):
            self._lose_gang(self.records[job_id], event.worker, now)
        self.book.leave(event.worker)
        self.cluster.remove(event.worker)
        self._silent.discard(event.worker)
        self.book.home_all()
        self._reservation = None

    @_apply.register
    def _(self, event: WorkerSilent, now: float) -> None:
        if event.worker not in self.cluster.nodes or event.worker in self._silent:
            return
        self._silent.add(event.worker)
        self._close_worker(event.worker, now)

    @_apply.register
    def _(self, event: WorkerAnswered, now: float) -> None:
        if event.worker not in self._silent:
            return
        self._silent.discard(event.worker)
        if not self.failures.quarantined(event.worker):
            self.cluster.open(event.worker)
            self.book.home_all()

    @_apply.register
    def _(self, event: GuaranteesChanged, now: float) -> None:
        self._limits = {
            (limit.service, limit.team): limit.max_accelerators
            for limit in event.limits
            if limit.max_accelerators
        }
        self.mix = event.mix
        self._packing = PackingValue(self.cluster, event.mix)
        self.book.configure(event.slots)
        self._reservation = None

    @_apply.register
    def _(self, event: GangRecovered, now: float) -> None:
        gang = event.gang
        record = JobRecord(gang.job, JobState.RUNNING, placement=gang.placement)
        record.started_at = gang.started_at
        self.records[gang.job.job_id] = record
        self.cluster.adopt(gang.job.job_id, gang.job.shape, gang.placement)
        self._count_held(gang.job, 1)
        slot = self.book.open_slot(gang.job.slot_key) if gang.guaranteed else None
        if slot is not None:
            self.book.lift(slot)
            slot.holder = gang.job.job_id
            record.slot = slot
        if slot is not None or not gang.job.evictable:
            record.hard = True
            self.book.harden(gang.job.shape, record.held_block, 1)
        record.note(now, "found running by a new owner")

    def _impossible(self, job: Job) -> str:
        """Return why a job can never run, or an empty string."""
        shape = job.shape
        limit = self._limits.get((job.service, job.team))
        if limit and shape.accelerators > limit:
            return (
                f"shape {shape.name} needs {shape.accelerators} accelerators, but team {job.team} "
                f"may hold at most {limit}"
            )
        if not self.cluster.fits_empty(shape):
            return (
                f"shape {shape.name} needs {shape.accelerators} accelerators in one "
                f"{block_name(shape.adjacency)}, more than any has"
            )
        return ""

    def _count_failure(self, record: JobRecord, worker: str, now: float) -> bool:
        """Take in a failure and return whether it is the job that is bad."""
        node = self.cluster.nodes.get(worker)
        if node is None:
            return False
        rack = frozenset(self.cluster.racks.get(node.info.rack, ()))
        verdict = self.failures.fail(record.job.job_id, worker, rack, now)
        if verdict.quarantine:
            self._close_worker(worker, now)
        return verdict.bad_job

    def _close_worker(self, worker: str, now: float) -> None:
        """Give a worker nothing new, and move reservations and pending claims off it."""
        self.cluster.close(worker)
        self.book.leave(worker)
        self.book.home_all()
        self._drop_pending_on(worker, now)
        self._reservation = None

    def _open_probes(self, now: float) -> None:
        for worker in self.failures.due_probes(now):
            if worker in self.cluster.nodes and worker not in self._silent:
                self.cluster.open(worker)
                self.book.home_all()

    def _start_pending(self, now: float) -> None:
        """Start the claims whose victims are gone."""
        for record in list(self._pending.values()):
            shape = record.job.shape
            self._pledge(shape, record.block, -1)
            if all(
                self.cluster.nodes[part.worker].free_units(shape) >= part.units
                for part in record.block
            ):
                del self._pending[record.job.job_id]
                self._start(record, record.block, now)
            else:
                self._pledge(shape, record.block, 1)

    def _place_claims(self, now: float) -> None:
        """Start or prepare queued work that claims an open guarantee, fair among teams."""
        claims = [record for record in self._queue.values() if record.job.claims]
        claims.sort(
            key=lambda record: (
                self.book.held_share(record.job.slot_key),
                record.job.submitted_at,
            )
        )
        for record in claims:
            slot = self.book.open_slot(record.job.slot_key)
            if slot is not None and not self._over_limit(record.job):
                self._claim(record, slot, now)

    def _claim(self, record: JobRecord, slot: Slot, now: float) -> None:
        shape = slot.shape
        witness = self.book.lift(slot)
        block = find_block(self.cluster, shape, self._claim_rules(record))
        victims: tuple[str, ...] = ()
        if block is None:
            plan = plan_reclaim(self.cluster, shape, self.records, now)
            if plan is None:
                self.book.put(slot, witness)
                record.note(now, "waits: no live block can hold the guaranteed shape")
                return
            block, victims = plan.block, plan.victims
        slot.holder = record.job.job_id
        record.slot = slot
        record.hard = True
        self.book.harden(shape, block, 1)
        del self._queue[record.job.job_id]
        if self._free_now(shape, block):
            self._start(record, block, now)
            return
        record.state = JobState.CLAIMING
        record.block = block
        self._pledge(shape, block, 1)
        self._pending[record.job.job_id] = record
        record.note(now, f"claims its guarantee; evicts {', '.join(victims) or 'nothing new'}")
        for victim in victims:
            self._evict(self.records[victim], record.job.job_id, now)

    def _claim_rules(self, record: JobRecord) -> PlacementRules:
        shape = record.job.shape
        avoid = self.failures.failed_on(record.job.job_id)

        def units(node: Node) -> int:
            if node.info.worker in avoid or self.failures.probing(node.info.worker):
                return 0
            return min(node.free_units(shape), node.hard_units(shape))

        return PlacementRules(units, self._rank)

    def _evict(self, record: JobRecord, for_job: str, now: float) -> None:
        record.state = JobState.EVICTING
        record.note(now, f"evicted for {for_job}")
        self._actions.append(EvictGang(record.job.job_id, for_job, record.job.checkpoint))

    def _place_borrowed(self, now: float) -> None:
        """Place queued work in order; a reservation holds a block for one wide gang."""
        if not self._queue:
            return
        ranked = sorted(self._queue.values(), key=lambda record: self._priority(record, now))
        self._refresh_reservation(ranked, now)
        failed: set[tuple[Shape, bool]] = set()
        for record in ranked:
            kind = (record.job.shape, record.job.evictable)
            if kind in failed and not self._is_reserved_for(record):
                continue
            if self._over_limit(record.job):
                record.blocked_by = "the team's limit of accelerators"
                continue
            block = self._find_borrowed(record, now)
            if block is None:
                failed.add(kind)
                record.blocked_by = "no free block of its shape"
                continue
            del self._queue[record.job.job_id]
            self._start(record, block, now)

    def _priority(self, record: JobRecord, now: float) -> tuple[float, float, str]:
        job = record.job
        expected = max(self._expected(job) - record.done_s, 0.0)
        waited = now - job.submitted_at
        key = priority(self._rules, expected, job.shape.accelerators, waited)
        return (key, job.submitted_at, job.job_id)

    def _expected(self, job: Job) -> float:
        if not self._rules.learned:
            return job.shape.expected_s
        return self.run_times.expect(job.service, job.shape.name, job.shape.expected_s)

    def _find_borrowed(self, record: JobRecord, now: float) -> Block | None:
        block = find_block(self.cluster, record.job.shape, self._borrow_rules(record, now))
        if block is not None or record.job.evictable:
            return block
        return self._find_by_moving_reservations(record, now)

    def _borrow_rules(
        self, record: JobRecord, now: float, *, over_reserved: bool = False
    ) -> PlacementRules:
        job = record.job
        avoid = self.failures.failed_on(job.job_id)
        expected = self._expected(job) - record.done_s

        def units(node: Node) -> int:
            worker = node.info.worker
            if worker in avoid or not self._open_to(job, worker, node):
                return 0
            if self._held_off(record, worker, now + expected):
                return 0
            free = node.free_units(job.shape)
            if job.evictable:
                return free
            limit = node.unreserved_units if over_reserved else node.hard_units
            return min(free, limit(job.shape))

        return PlacementRules(units, self._rank)

    def _open_to(self, job: Job, worker: str, node: Node) -> bool:
        """A worker on probation takes one evictable job at a time."""
        if not self.failures.probing(worker):
            return True
        return job.idempotent and not node.gangs

    def _find_by_moving_reservations(self, record: JobRecord, now: float) -> Block | None:
        rules = self._borrow_rules(record, now, over_reserved=True)
        block = find_block(self.cluster, record.job.shape, rules)
        if block is not None and self.book.make_room(record.job.shape, block):
            return block
        return None

    def _rank(self, node: Node, units: int) -> float:
        """Cost of a placement: what gangs can no longer use, reserved blocks, tightness."""
        left = len(node.free) - units
        beyond = max(0, node.reserved.accelerators - left)
        rank = self._packing.loss(node, units)
        rank += BEYOND_RESERVED_RANK * beyond + TIGHTNESS_RANK * left
        if self.failures.doubtful(node.info.worker):
            rank += DOUBTFUL_RANK
        return rank

    def _refresh_reservation(self, ranked: list[JobRecord], now: float) -> None:
        current = self._reservation
        if current is not None and (current.job_id not in self._queue or now >= current.start_at):
            self._reservation = current = None
        if current is not None:
            return
        starving = [record for record in ranked if self._starves(record, now)]
        if not starving:
            return
        oldest = min(starving, key=lambda record: record.job.submitted_at)
        self._reservation = plan_reservation(
            self.cluster, oldest.job, self.records, self.run_times, now
        )

    def _starves(self, record: JobRecord, now: float) -> bool:
        rules = self._rules
        patience = max(rules.reserve_least_s, rules.reserve_after * self._expected(record.job))
        return (
            record.job.shape.accelerators > 1
            and now - record.job.submitted_at >= patience
            and not self._over_limit(record.job)
        )

    def _held_off(self, record: JobRecord, worker: str, end: float) -> bool:
        """Whether a reservation keeps a job that would end at ``end`` off a worker."""
        reservation = self._reservation
        if reservation is None or self._is_reserved_for(record):
            return False
        return worker in reservation.workers and end > reservation.start_at

    def _is_reserved_for(self, record: JobRecord) -> bool:
        return self._reservation is not None and self._reservation.job_id == record.job.job_id

    def _heal(self, now: float) -> None:
        """Move a few checkpointable gangs, for a wide gang that starves or for whole blocks."""
        if self._moving or now < self._heal_at:
            return
        self._heal_at = now + HEAL_EVERY_S
        starving = [record for record in self._queue.values() if self._starves(record, now)]
        if starving:
            oldest = min(starving, key=lambda record: record.job.submitted_at)
            wait_s = now - oldest.job.submitted_at
            self._move(plan_moves(self.cluster, oldest, self.records, wait_s), oldest, now)
        if not self._moving:
            move = plan_compaction(
                self.cluster, self._packing, self.records, self._remaining_s, now
            )
            self._move(move, None, now)

    def _move(self, move: Move | None, waiting: JobRecord | None, now: float) -> None:
        if move is None:
            return
        for_job = waiting.job.job_id if waiting is not None else ""
        if waiting is not None:
            until = now + self._rules.reserve_least_s
            self._reservation = Reservation(for_job, frozenset({move.worker}), until)
        for job_id in move.jobs:
            self._moving[job_id] = for_job
            self._evict(self.records[job_id], for_job or "a whole block", now)

    def _remaining_s(self, record: JobRecord, now: float) -> float:
        job = record.job
        elapsed = now - record.started_at + record.done_s
        return self.run_times.remaining(job.service, job.shape.name, job.shape.expected_s, elapsed)

    def _start(self, record: JobRecord, block: Block, now: float) -> None:
        job = record.job
        if record.slot is None and not job.evictable:
            record.hard = True
            self.book.harden(job.shape, block, 1)
        record.block = ()
        record.placement = self.cluster.allocate(job.job_id, job.shape, block)
        record.state = JobState.STARTING
        record.started_at = now
        record.blocked_by = ""
        self._count_held(job, 1)
        kind = "its guarantee" if record.slot is not None else "borrowed accelerators"
        record.note(now, f"placed on {', '.join(record.workers)} on {kind}")
        self._actions.append(StartGang(job.job_id, record.placement, record.slot is not None))

    def _requeue(self, record: JobRecord, now: float, why: str) -> None:
        self._vacate(record)
        record.state = JobState.QUEUED
        record.note(now, f"{why}; waits again")
        self._queue[record.job.job_id] = record

    def _lose_gang(self, record: JobRecord, worker: str, now: float) -> None:
        """A member's worker is gone: the gang ends whole, and runs again only if idempotent."""
        job = record.job
        self._drop_member(record, worker)
        if record.state is JobState.EVICTING:
            return
        if job.idempotent:
            record.state = JobState.EVICTING
            record.note(now, f"worker {worker} is lost; the gang ends whole")
            self._actions.append(EvictGang(job.job_id, "", checkpoint=False))
            return
        self._actions.append(StopGang(job.job_id, f"worker {worker} is lost"))
        self._end(record)
        self._actions.append(FailJob(job.job_id, f"worker {worker} was lost while the job ran"))

    def _drop_member(self, record: JobRecord, worker: str) -> None:
        """Give back what a gang held on a lost worker, and its guarantee with it."""
        shape = record.job.shape
        lost = tuple(part for part in record.held_block if part.worker == worker)
        self.cluster.release(record.job.job_id, shape, (worker,))
        if record.hard:
            self.book.harden(shape, lost, -1)
        record.placement = tuple(member for member in record.placement if member.worker != worker)
        if record.slot is not None:
            record.slot.holder = ""
            record.slot = None

    def _drop_pending_on(self, worker: str, now: float) -> None:
        """Queue the claims anew whose block uses a worker."""
        for record in list(self._pending.values()):
            if any(part.worker == worker for part in record.block):
                self._requeue(record, now, f"worker {worker} went while it was being cleared")

    def _end(self, record: JobRecord) -> None:
        self._vacate(record)
        self._queue.pop(record.job.job_id, None)
        self._moving.pop(record.job.job_id, None)
        del self.records[record.job.job_id]

    def _vacate(self, record: JobRecord) -> None:
        """Give back whatever a job holds; a claimed slot's block becomes its reservation again."""
        job = record.job
        block = record.block or record.held_block
        if record.block:
            self._pledge(job.shape, record.block, -1)
            self._pending.pop(job.job_id, None)
        if record.state in HELD_STATES:
            self.cluster.release(job.job_id, job.shape, record.workers)
            self._count_held(job, -1)
        if record.hard:
            self.book.harden(job.shape, block, -1)
        slot = record.slot
        record.block, record.placement, record.slot, record.hard = (), (), None, False
        if slot is not None:
            slot.holder = ""
            self._return_slot(slot, block)

    def _return_slot(self, slot: Slot, block: Block) -> None:
        if slot.retired:
            return
        nodes = [self.cluster.nodes.get(part.worker) for part in block]
        if all(node is not None and self.cluster.usable(node) for node in nodes):
            self.book.put(slot, block)
            return
        self.book.home_all()

    def _free_now(self, shape: Shape, block: Block) -> bool:
        return all(
            self.cluster.nodes[part.worker].free_units(shape) >= part.units for part in block
        )

    def _pledge(self, shape: Shape, block: Block, sign: int) -> None:
        for part in block:
            node = self.cluster.nodes.get(part.worker)
            if node is not None:
                node.pledged.add(shape, sign * part.units)

    def _count_held(self, job: Job, sign: int) -> None:
        key = (job.service, job.team)
        self._held[key] = self._held.get(key, 0) + sign * job.shape.accelerators

    def _over_limit(self, job: Job) -> bool:
        limit = self._limits.get((job.service, job.team))
        if not limit:
            return False
        held = self._held.get((job.service, job.team), 0)
        return held + job.shape.accelerators > limit
