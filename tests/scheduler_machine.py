"""A hypothesis state machine that drives the decision core and checks its promises at each step."""

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
    WorkerJoined,
    WorkerLeaving,
    WorkerLost,
    WorkerNode,
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
SMALL = ((0, 2), (1, 1), (2, 1))
LARGE = ((0, 4), (1, 2), (2, 1), (3, 1))
HELD = (JobState.STARTING, JobState.RUNNING, JobState.EVICTING)


def make_node(number):
    return WorkerNode(f"w{number}", f"r{number // 3}", f"d{number // 3}", 8, 32, 128)


def make_guarantees(counts):
    slots = tuple(
        GuaranteedSlots(SlotKey("svc", "team", SHAPES[shape].name), SHAPES[shape], count)
        for shape, count in counts
    )
    return GuaranteesChanged(slots, (), SHAPES)


class SchedulerMachine(RuleBasedStateMachine):
    """Random events against the scheduler; the machine plays the workers."""

    @initialize()
    def start(self):
        self.now = 0.0
        self.number = 0
        self.away = set()
        self.ever_away = False
        self.guarantees = make_guarantees(SMALL)
        self.starting = {}
        self.evicting = {}
        self.executions = {}
        self.granted_large = set()
        self.scheduler = Scheduler()
        for number in range(WORKERS):
            self.feed(WorkerJoined(make_node(number)))
        self.feed(self.guarantees)

    def feed(self, event):
        self.now += 1.0
        hard_before = self.hard_jobs()
        for action in self.scheduler.handle(event, self.now):
            self.take(action)
        if self.guarantees == make_guarantees(LARGE):
            self.granted_large |= self.hard_jobs() - hard_before

    def hard_jobs(self):
        return {j for j, record in self.scheduler.records.items() if record.protected}

    def take(self, action):
        if isinstance(action, StartGang):
            workers = {member.worker for member in action.placement}
            assert not workers & self.scheduler.leaving, "a leaving worker got new work"
            self.starting[action.job_id] = action
        elif isinstance(action, EvictGang):
            record = self.scheduler.records[action.job_id]
            job = record.job
            assert job.idempotent or job.checkpoint, "evicted work that cannot be run again"
            assert not job.checkpoint or job.idempotent or action.checkpoint
            assert record.slot is None, "evicted guaranteed work"
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
        self.submit_one(shape, claims, idempotent, checkpoint)

    def submit_one(self, shape, claims, idempotent, checkpoint):
        self.number += 1
        job = Job(
            f"j{self.number}",
            "svc",
            "team",
            SHAPES[shape],
            claims,
            idempotent,
            checkpoint,
            self.now,
        )
        self.feed(JobSubmitted(job))

    @rule(shape=st.integers(0, 2), protected=st.booleans())
    def fill(self, shape, protected):
        """Borrowed work takes whatever is free, and all of it starts."""
        for number in range(48 // SHAPES[shape].accelerators):
            evictable = not protected or number % 2 == 0
            self.submit_one(shape, False, evictable, False)
        for job_id in sorted(self.starting):
            self.start_one(job_id)

    @precondition(lambda self: self.starting)
    @rule(pick=st.integers(0, 99))
    def members_run(self, pick):
        self.start_one(sorted(self.starting)[pick % len(self.starting)])

    def start_one(self, job_id):
        if job_id not in self.starting:
            return
        del self.starting[job_id]
        job = self.scheduler.records[job_id].job
        self.executions[job_id] = self.executions.get(job_id, 0) + 1
        if not job.idempotent and not job.checkpoint:
            assert self.executions[job_id] == 1, "non-idempotent work ran twice"
        self.feed(GangStarted(job_id))

    @precondition(lambda self: self.starting)
    @rule(pick=st.integers(0, 99), silent=st.booleans())
    def member_rejects(self, pick, silent):
        job_id = sorted(self.starting)[pick % len(self.starting)]
        action = self.starting.pop(job_id)
        self.feed(GangRejected(job_id, action.placement[0].worker, silent))

    @precondition(lambda self: self.evicting)
    @rule(pick=st.integers(0, 99))
    def gang_released(self, pick):
        job_id = sorted(self.evicting)[pick % len(self.evicting)]
        action = self.evicting.pop(job_id)
        self.feed(GangReleased(job_id, 1.0 if action.checkpoint else 0.0))

    @precondition(lambda self: self.running())
    @rule(pick=st.integers(0, 99))
    def finish(self, pick):
        jobs = self.running()
        self.feed(JobFinished(jobs[pick % len(jobs)], 5.0))

    @precondition(lambda self: self.running())
    @rule(pick=st.integers(0, 99))
    def fail(self, pick):
        jobs = self.running()
        job_id = jobs[pick % len(jobs)]
        self.feed(JobFailed(job_id, self.scheduler.records[job_id].workers[0]))

    @precondition(lambda self: self.scheduler.records)
    @rule(share=st.integers(1, 3))
    def cancel_wave(self, share):
        for number, job_id in enumerate(sorted(self.scheduler.records)):
            if number % 3 < share:
                self.starting.pop(job_id, None)
                self.feed(JobCancelled(job_id))

    @rule(number=st.integers(0, WORKERS - 1))
    def lose_worker(self, number):
        self.ever_away = True
        self.away.add(number)
        self.feed(WorkerLost(f"w{number}"))

    @precondition(lambda self: self.away)
    @rule(pick=st.integers(0, 99))
    def worker_returns(self, pick):
        number = sorted(self.away)[pick % len(self.away)]
        self.away.discard(number)
        self.feed(WorkerJoined(make_node(number)))

    @rule(number=st.integers(0, WORKERS - 1), answers=st.booleans())
    def worker_silent(self, number, answers):
        self.ever_away = True
        self.feed(WorkerSilent(f"w{number}"))
        if answers:
            self.feed(WorkerAnswered(f"w{number}"))

    @rule(number=st.integers(0, WORKERS - 1), stays=st.booleans())
    def worker_leaves(self, number, stays):
        """The worker's gangs run on; later it may turn out to stay."""
        self.ever_away = True
        running = {j for j in self.running() if f"w{number}" in self.scheduler.records[j].workers}
        self.feed(WorkerLeaving(f"w{number}"))
        assert running <= set(self.running()), "work on a leaving worker was cut"
        if stays:
            self.feed(WorkerLeaving(f"w{number}", stays=True))

    @rule(large=st.booleans())
    def configure(self, large):
        self.guarantees = make_guarantees(LARGE if large else SMALL)
        self.feed(self.guarantees)

    @rule()
    def time_passes(self):
        self.now += 100.0
        self.feed(Tick())

    @rule()
    def owner_changes(self):
        """A new owner finds the running gangs; the rest is submitted anew or lost."""
        old = self.scheduler
        self.ever_away = True  # a guarantee may shrink under hard work that the old owner placed
        self.scheduler = Scheduler()
        self.starting, self.evicting = {}, {}
        for number in range(WORKERS):
            if number not in self.away:
                self.feed(WorkerJoined(make_node(number)))
        for _, record in sorted(old.records.items()):
            if record.state is JobState.RUNNING and len(record.placement):
                held = sum(len(m.accelerators) for m in record.placement)
                if held == record.job.shape.accelerators:
                    gang = RunningGang(
                        record.job, record.placement, record.slot is not None, record.started_at
                    )
                    self.feed(GangRecovered(gang))
        self.feed(self.guarantees)

    @invariant()
    def accelerators_are_held_once(self):
        for node in self.scheduler.cluster.nodes.values():
            held = [index for indices in node.gangs.values() for index in indices]
            assert sorted(held + node.free) == list(range(8)), "an accelerator is held twice"

    @invariant()
    def gangs_are_whole(self):
        for record in self.scheduler.records.values():
            held = sum(len(member.accelerators) for member in record.placement)
            if record.state in (JobState.STARTING, JobState.RUNNING):
                assert held == record.job.shape.accelerators, "a gang runs partially"
            elif record.state not in HELD:
                assert held == 0

    @invariant()
    def guarantees_are_reclaimable(self):
        """Hard work and reservations, counted anew from records and slots, fit each worker."""
        totals = {name: Resources() for name in self.scheduler.cluster.nodes}
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
            assert total.accelerators <= 8, "a guaranteed shape cannot be reclaimed"
            assert total.processors <= 32 + 1e-6
            assert total.memory_gb <= 128 + 1e-6

    @invariant()
    def shortfalls_have_a_cause(self):
        """Allowed: workers lost or quarantined, hard work granted under larger guarantees."""
        quarantined = self.scheduler.quarantined
        excused = self.ever_away or quarantined or self.granted_large & self.hard_jobs()
        if not excused and self.guarantees == make_guarantees(SMALL):
            assert (
                not self.scheduler.slot_table.shortfalls()
            ), "a guarantee was lost without a cause"

    @invariant()
    def closed_workers_have_a_cause(self):
        scheduler = self.scheduler
        causes = scheduler.silent | scheduler.quarantined | scheduler.leaving
        assert scheduler.cluster.cordoned == causes

    @invariant()
    def counts_match(self):
        for node in self.scheduler.cluster.nodes.values():
            assert node.used.accelerators == 8 - len(node.free)
            assert node.protected.accelerators >= 0
            assert node.reserved.accelerators >= 0
            assert node.pending.accelerators >= 0


class CalmMachine(SchedulerMachine):
    """The same without lost workers and new owners, so that no shortfall is ever excused."""

    def lose_worker(self):
        """Not a rule here."""

    def worker_silent(self):
        """Not a rule here."""

    def worker_leaves(self):
        """Not a rule here."""

    def owner_changes(self):
        """Not a rule here."""

    def member_rejects(self):
        """Not a rule here."""
