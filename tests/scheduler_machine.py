"""A hypothesis state machine that checks the scheduler's invariants after each random event."""

import hypothesis.strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, precondition, rule

from lacewingmill.models import Adjacency, Shape
from lacewingmill.scheduling.cluster import Resources
from lacewingmill.scheduling.messages import (
    EvictGang,
    FailJob,
    GangRecovered,
    GangRejected,
    GangReleased,
    GangStarted,
    GuaranteedSlots,
    GuaranteesChanged,
    Job,
    JobCancelled,
    JobFailed,
    JobFinished,
    JobSubmitted,
    RefuseJob,
    RunningGang,
    SlotKey,
    StartGang,
    StopGang,
    Tick,
    WorkerAnswered,
    WorkerInfo,
    WorkerJoined,
    WorkerLeaving,
    WorkerLost,
    WorkerSilent,
)
from lacewingmill.scheduling.records import JobState
from lacewingmill.scheduling.scheduler import Scheduler

WORKERS = 6
SHAPES = (
    Shape("one", 1, Adjacency.WORKER, 2, 8, 60),
    Shape("half", 4, Adjacency.WORKER, 4, 16, 600),
    Shape("whole", 8, Adjacency.WORKER, 4, 16, 600),
    Shape("wide", 16, Adjacency.RACK, 4, 16, 900),
)
SMALL_GUARANTEES = ((0, 2), (1, 1), (2, 1))
LARGE_GUARANTEES = ((0, 4), (1, 2), (2, 1), (3, 1))
HELD_STATES = (JobState.STARTING, JobState.RUNNING, JobState.EVICTING)


def make_worker_info(number):
    return WorkerInfo(f"w{number}", f"r{number // 3}", f"d{number // 3}", 8, 32, 128)


def make_guarantees(counts):
    slots = tuple(
        GuaranteedSlots(SlotKey("svc", "team", SHAPES[shape].name), SHAPES[shape], count)
        for shape, count in counts
    )
    return GuaranteesChanged(slots, (), SHAPES)


class SchedulerMachine(RuleBasedStateMachine):
    """Sends random events to the scheduler and simulates the workers."""

    @initialize()
    def start(self):
        self.now = 0.0
        self.job_count = 0
        self.lost = set()
        self.disrupted = False
        self.guarantees = make_guarantees(SMALL_GUARANTEES)
        self.starting = {}
        self.evicting = {}
        self.executions = {}
        self.protected_under_large = set()
        self.scheduler = Scheduler()
        for number in range(WORKERS):
            self.handle_event(WorkerJoined(make_worker_info(number)))
        self.handle_event(self.guarantees)

    def handle_event(self, event):
        self.now += 1.0
        protected_before = self.protected_jobs()
        for action in self.scheduler.handle(event, self.now):
            self.apply_action(action)
        if self.guarantees == make_guarantees(LARGE_GUARANTEES):
            self.protected_under_large |= self.protected_jobs() - protected_before

    def protected_jobs(self):
        return {j for j, record in self.scheduler.records.items() if record.protected}

    def apply_action(self, action):
        if isinstance(action, StartGang):
            workers = {member.worker for member in action.placement}
            assert not workers & self.scheduler.leaving, "new work was placed on a leaving worker"
            self.starting[action.job_id] = action
        elif isinstance(action, EvictGang):
            record = self.scheduler.records[action.job_id]
            job = record.job
            assert job.idempotent or job.checkpoint, "a job that cannot be run again was evicted"
            assert not job.checkpoint or job.idempotent or action.checkpoint
            assert record.slot is None, "a job on a guaranteed slot was evicted"
            self.starting.pop(action.job_id, None)
            self.evicting[action.job_id] = action
        elif isinstance(action, StopGang | RefuseJob | FailJob):
            self.starting.pop(action.job_id, None)
            self.evicting.pop(action.job_id, None)

    def running(self):
        records = self.scheduler.records
        return sorted(j for j, r in records.items() if r.state is JobState.RUNNING)

    @rule(
        shape=st.integers(0, 3),
        claims=st.booleans(),
        idempotent=st.booleans(),
        checkpoint=st.booleans(),
    )
    def submit(self, shape, claims, idempotent, checkpoint):
        self.submit_job(shape, claims, idempotent, checkpoint)

    def submit_job(self, shape, claims, idempotent, checkpoint):
        self.job_count += 1
        job = Job(
            f"j{self.job_count}",
            "svc",
            "team",
            SHAPES[shape],
            claims,
            idempotent,
            checkpoint,
            self.now,
        )
        self.handle_event(JobSubmitted(job))

    @rule(shape=st.integers(0, 2), protected=st.booleans())
    def fill(self, shape, protected):
        """Submit jobs that borrow all free accelerators, and start them.

        :param protected: whether every second job is not evictable.
        """
        for number in range(48 // SHAPES[shape].accelerators):
            evictable = not protected or number % 2 == 0
            self.submit_job(shape, False, evictable, False)
        for job_id in sorted(self.starting):
            self.start_gang(job_id)

    @precondition(lambda self: self.starting)
    @rule(pick=st.integers(0, 99))
    def members_run(self, pick):
        self.start_gang(sorted(self.starting)[pick % len(self.starting)])

    def start_gang(self, job_id):
        if job_id not in self.starting:
            return
        del self.starting[job_id]
        job = self.scheduler.records[job_id].job
        self.executions[job_id] = self.executions.get(job_id, 0) + 1
        if not job.idempotent and not job.checkpoint:
            assert self.executions[job_id] == 1, "a non-idempotent job ran twice"
        self.handle_event(GangStarted(job_id))

    @precondition(lambda self: self.starting)
    @rule(pick=st.integers(0, 99), silent=st.booleans())
    def member_rejects(self, pick, silent):
        job_id = sorted(self.starting)[pick % len(self.starting)]
        action = self.starting.pop(job_id)
        self.handle_event(GangRejected(job_id, action.placement[0].worker, silent))

    @precondition(lambda self: self.evicting)
    @rule(pick=st.integers(0, 99))
    def gang_released(self, pick):
        job_id = sorted(self.evicting)[pick % len(self.evicting)]
        action = self.evicting.pop(job_id)
        self.handle_event(GangReleased(job_id, 1.0 if action.checkpoint else 0.0))

    @precondition(lambda self: self.running())
    @rule(pick=st.integers(0, 99))
    def finish(self, pick):
        jobs = self.running()
        self.handle_event(JobFinished(jobs[pick % len(jobs)], 5.0))

    @precondition(lambda self: self.running())
    @rule(pick=st.integers(0, 99))
    def fail(self, pick):
        jobs = self.running()
        job_id = jobs[pick % len(jobs)]
        self.handle_event(JobFailed(job_id, self.scheduler.records[job_id].workers[0]))

    @precondition(lambda self: self.scheduler.records)
    @rule(share=st.integers(1, 3))
    def cancel_wave(self, share):
        for number, job_id in enumerate(sorted(self.scheduler.records)):
            if number % 3 < share:
                self.starting.pop(job_id, None)
                self.handle_event(JobCancelled(job_id))

    @rule(number=st.integers(0, WORKERS - 1))
    def lose_worker(self, number):
        self.disrupted = True
        self.lost.add(number)
        self.handle_event(WorkerLost(f"w{number}"))

    @precondition(lambda self: self.lost)
    @rule(pick=st.integers(0, 99))
    def worker_returns(self, pick):
        number = sorted(self.lost)[pick % len(self.lost)]
        self.lost.discard(number)
        self.handle_event(WorkerJoined(make_worker_info(number)))

    @rule(number=st.integers(0, WORKERS - 1), answers=st.booleans())
    def worker_silent(self, number, answers):
        self.disrupted = True
        self.handle_event(WorkerSilent(f"w{number}"))
        if answers:
            self.handle_event(WorkerAnswered(f"w{number}"))

    @rule(number=st.integers(0, WORKERS - 1), stays=st.booleans())
    def worker_leaves(self, number, stays):
        """The gangs on a leaving worker keep running; the worker may stay after all."""
        self.disrupted = True
        running = {j for j in self.running() if f"w{number}" in self.scheduler.records[j].workers}
        self.handle_event(WorkerLeaving(f"w{number}"))
        assert running <= set(self.running()), "a gang on a leaving worker was stopped"
        if stays:
            self.handle_event(WorkerLeaving(f"w{number}", stays=True))

    @rule(large=st.booleans())
    def configure(self, large):
        self.guarantees = make_guarantees(LARGE_GUARANTEES if large else SMALL_GUARANTEES)
        self.handle_event(self.guarantees)

    @rule()
    def time_passes(self):
        self.now += 100.0
        self.handle_event(Tick())

    @rule()
    def owner_changes(self):
        """A new owner recovers the running gangs; all other jobs are dropped."""
        old = self.scheduler
        self.disrupted = True  # protected work of the old owner may cause a shortfall
        self.scheduler = Scheduler()
        self.starting, self.evicting = {}, {}
        for number in range(WORKERS):
            if number not in self.lost:
                self.handle_event(WorkerJoined(make_worker_info(number)))
        for _, record in sorted(old.records.items()):
            if record.state is JobState.RUNNING and len(record.placement):
                held = sum(len(m.accelerators) for m in record.placement)
                if held == record.job.shape.accelerators:
                    gang = RunningGang(
                        record.job, record.placement, record.slot is not None, record.started_at
                    )
                    self.handle_event(GangRecovered(gang))
        self.handle_event(self.guarantees)

    @invariant()
    def accelerators_are_held_once(self):
        for state in self.scheduler.cluster.workers.values():
            held = [index for indices in state.gangs.values() for index in indices]
            assert sorted(held + state.free) == list(range(8)), "an accelerator is held twice"

    @invariant()
    def gangs_are_whole(self):
        for record in self.scheduler.records.values():
            held = sum(len(member.accelerators) for member in record.placement)
            if record.state in (JobState.STARTING, JobState.RUNNING):
                assert held == record.job.shape.accelerators, "a gang runs without all its members"
            elif record.state not in HELD_STATES:
                assert held == 0

    @invariant()
    def guarantees_are_reclaimable(self):
        """Protected work and reservations, recomputed from records and slots, fit each worker."""
        totals = {name: Resources() for name in self.scheduler.cluster.workers}
        for record in self.scheduler.records.values():
            evictable = record.slot is None and record.job.evictable and not record.protected
            if evictable:
                continue
            for part in record.block or record.held_block:
                if part.worker in totals:
                    totals[part.worker].add(record.job.shape, part.units)
        for slot in self.scheduler.slot_table.slots():
            for part in slot.reserved_block or ():
                totals[part.worker].add(slot.shape, part.units)
        for total in totals.values():
            assert total.accelerators <= 8, "protected work and reservations exceed a worker"
            assert total.processors <= 32 + 1e-6
            assert total.memory_gb <= 128 + 1e-6

    @invariant()
    def shortfalls_have_a_cause(self):
        """Causes: lost or quarantined workers, protected work placed under larger guarantees."""
        quarantined = self.scheduler.quarantined
        excused = (
            self.disrupted or quarantined or self.protected_under_large & self.protected_jobs()
        )
        if not excused and self.guarantees == make_guarantees(SMALL_GUARANTEES):
            assert (
                not self.scheduler.slot_table.shortfalls()
            ), "a guaranteed slot is in shortfall without a cause"

    @invariant()
    def cordoned_workers_have_a_cause(self):
        scheduler = self.scheduler
        causes = scheduler.silent | scheduler.quarantined | scheduler.leaving
        assert scheduler.cluster.cordoned == causes

    @invariant()
    def counts_match(self):
        for state in self.scheduler.cluster.workers.values():
            assert state.used.accelerators == 8 - len(state.free)
            assert state.protected.accelerators >= 0
            assert state.reserved.accelerators >= 0
            assert state.pending.accelerators >= 0


class StableMachine(SchedulerMachine):
    """The machine without rejections, unavailable workers and owner changes.

    Unavailable workers and owner changes excuse shortfalls.
    """

    def lose_worker(self):
        """Disabled."""

    def worker_silent(self):
        """Disabled."""

    def worker_leaves(self):
        """Disabled."""

    def owner_changes(self):
        """Disabled."""

    def member_rejects(self):
        """Disabled."""
