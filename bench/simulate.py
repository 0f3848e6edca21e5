"""Drives a policy with a fake worker port on virtual time; no network and no processes."""

import collections
import heapq
import itertools
import math
import time
from functools import singledispatchmethod
from typing import Protocol

import attrs

from bench.workload import Deployment, TimedJob, Workload
from lacewingmill.models import Shape
from lacewingmill.scheduling.cluster import Cluster
from lacewingmill.scheduling.messages import (
    Action,
    Event,
    EvictGang,
    FailJob,
    GangRejected,
    GangReleased,
    GangStarted,
    JobCancelled,
    JobFailed,
    JobFinished,
    JobSubmitted,
    Placement,
    RefuseJob,
    StartGang,
    StopGang,
    Tick,
    WorkerJoined,
    WorkerLost,
    WorkerSilent,
)
from lacewingmill.scheduling.placement import fragmentation_ratio, packable_accelerators

__all__ = ["Policy", "RunRecord", "Simulation"]

START_S = 0.1
ORDER_TIMEOUT_S = 1.0
CHECKPOINT_S = 1.0
RELEASE_S = 0.1
FAIL_AFTER_S = 1.0
SILENT_NOTICED_S = 1.7
SILENT_LOST_S = 4.0
TICK_S = 10.0
LONGEST_RUN_FACTOR = 50.0


class Policy(Protocol):
    """What is measured: the project's scheduler or a baseline."""

    cluster: Cluster
    configured_shapes: tuple[Shape, ...]

    def handle(self, event: Event, now: float) -> list[Action]:
        """Take in an event and return what to do."""


@attrs.define
class RunRecord:
    """What became of a job.

    :param entitled: whether a guarantee of its team was open when it was submitted.
    :param first_start: when all members first ran, in seconds; infinite if never.
    :param ended: when it ended with an answer; infinite if it did not.
    """

    timed: TimedJob
    entitled: bool = False
    first_start: float = math.inf
    ended: float = math.inf
    failed_at: float = 0.0
    outcome: str = ""
    starts: int = 0
    done_s: float = 0.0
    running_since: float = 0.0
    attempt: int = 0
    placement: Placement = ()
    releasing: bool = False
    waiting: bool = False


class Simulation:
    """One run of a policy over a workload."""

    def __init__(self, deployment: Deployment, workload: Workload, policy: Policy):
        self.records: dict[str, RunRecord] = {}
        self.lost_accelerator_s = 0.0
        self.decision_s: list[float] = []
        self.partial_gangs = 0
        self.now = 0.0
        self._deployment = deployment
        self._workload = workload
        self._policy = policy
        self._events: list = []
        self._order = itertools.count()
        self._silent: set[str] = set()
        self._gone: set[str] = set()
        self._open_claims: dict = {}
        self._allowed = {slot.key: slot.count for slot in deployment.configuration().slots}
        self._fragmented_s = 0.0
        self._measured_s = 0.0
        self._waiting: collections.Counter[Shape] = collections.Counter()
        self._fragmented_wait_s = 0.0
        self._adjacency_wait_s = 0.0
        self._unfinished = len(workload.jobs)

    @property
    def fragmentation(self) -> float:
        """Time-averaged fragmentation over the measured window, 0..1."""
        return self._fragmented_s / self._measured_s if self._measured_s else 0.0

    @property
    def waited_fragmentation(self) -> float:
        """Fragmentation weighted by the gangs that waited for adjacency alone, 0..1.

        Such a gang needs no more accelerators than are free, but no block holds it.
        """
        return self._fragmented_wait_s / self._adjacency_wait_s if self._adjacency_wait_s else 0.0

    @property
    def adjacency_wait_s(self) -> float:
        """Time that gangs waited for adjacency alone, in gang-seconds."""
        return self._adjacency_wait_s

    def run(self) -> None:
        """Run until every job has ended, or far past the measured window."""
        for node in self._deployment.nodes():
            self._feed(WorkerJoined(node))
        self._feed(self._deployment.configuration())
        self._schedule_workload()
        horizon = self._workload.until * LONGEST_RUN_FACTOR
        while self._events and self._unfinished and self.now < horizon:
            at, _, call = heapq.heappop(self._events)
            self._measure(at)
            self.now = at
            call()

    def _schedule_workload(self) -> None:
        workload = self._workload
        for timed in workload.jobs:
            self._at(timed.job.submitted_at, lambda t=timed: self._submit(t))
            if timed.cancel_at < math.inf:
                self._at(timed.cancel_at, lambda t=timed: self._cancel(t))
        for at, worker in workload.lost:
            self._at(at, lambda w=worker: self._silence(w))
        if workload.lost:
            self._at(workload.back_at, self._bring_back)
        if workload.silent is not None:
            at, worker = workload.silent
            self._at(at, lambda: self._silence(worker))
        self._at(TICK_S, self._tick)

    def _at(self, when: float, call) -> None:
        heapq.heappush(self._events, (when, next(self._order), call))

    def _measure(self, until: float) -> None:
        end = min(until, self._workload.until)
        if end <= self.now:
            return
        span = end - self.now
        cluster, configured_shapes = self._policy.cluster, self._policy.configured_shapes
        share = fragmentation_ratio(cluster, configured_shapes)
        gangs = self._waiting_for_adjacency(cluster)
        self._fragmented_s += span * share
        self._fragmented_wait_s += span * share * gangs
        self._adjacency_wait_s += span * gangs
        self._measured_s += span

    def _waiting_for_adjacency(self, cluster: Cluster) -> int:
        """Return how many waiting gangs the free accelerators would hold were they adjacent."""
        free = cluster.free_accelerators
        return sum(
            count
            for shape, count in self._waiting.items()
            if count and shape.accelerators <= free and not packable_accelerators(cluster, shape)
        )

    def _wait(self, record: RunRecord) -> None:
        if not record.waiting:
            record.waiting = True
            self._waiting[record.timed.job.shape] += 1

    def _wait_no_more(self, record: RunRecord) -> None:
        if record.waiting:
            record.waiting = False
            self._waiting[record.timed.job.shape] -= 1

    def _feed(self, event: Event) -> None:
        started = time.perf_counter()
        actions = self._policy.handle(event, self.now)
        self.decision_s.append(time.perf_counter() - started)
        for action in actions:
            self._act(action)

    def _tick(self) -> None:
        self._feed(Tick())
        self._at(self.now + TICK_S, self._tick)

    def _submit(self, timed: TimedJob) -> None:
        record = self.records[timed.job.job_id] = RunRecord(timed)
        key = timed.job.slot_key
        if timed.job.claims and key in self._allowed:
            record.entitled = self._open_claims.get(key, 0) < self._allowed[key]
            self._open_claims[key] = self._open_claims.get(key, 0) + 1
        self._wait(record)
        self._feed(JobSubmitted(timed.job))

    def _cancel(self, timed: TimedJob) -> None:
        record = self.records[timed.job.job_id]
        if record.outcome:
            return
        self._end(record, "cancelled")
        self._feed(JobCancelled(timed.job.job_id))

    def _silence(self, worker: str) -> None:
        self._silent.add(worker)
        self._at(self.now + SILENT_NOTICED_S, lambda: self._feed(WorkerSilent(worker)))
        self._at(self.now + SILENT_LOST_S, lambda: self._lose(worker))

    def _lose(self, worker: str) -> None:
        self._gone.add(worker)
        for record in self.records.values():
            if record.placement and any(m.worker == worker for m in record.placement):
                if record.releasing:
                    continue
                self._count_lost(record)
                record.running_since = 0.0
                record.attempt += 1
        self._feed(WorkerLost(worker))

    def _bring_back(self) -> None:
        nodes = {node.worker: node for node in self._deployment.nodes()}
        for _, worker in self._workload.lost:
            self._silent.discard(worker)
            self._gone.discard(worker)
            self._feed(WorkerJoined(nodes[worker]))

    @singledispatchmethod
    def _act(self, action: Action) -> None:
        raise TypeError(f"unknown action {type(action).__name__}")

    @_act.register
    def _(self, action: StartGang) -> None:
        record = self.records[action.job_id]
        self._wait_no_more(record)
        record.attempt += 1
        record.placement = action.placement
        attempt = record.attempt
        dead = [m.worker for m in action.placement if m.worker in self._silent]
        if dead:
            call = self._reject
            self._at(self.now + ORDER_TIMEOUT_S, lambda: call(record, attempt, dead[0]))
            return
        self._at(self.now + START_S, lambda: self._started(record, attempt))

    @_act.register
    def _(self, action: EvictGang) -> None:
        record = self.records[action.job_id]
        record.attempt += 1
        ran_s = self.now - record.running_since if record.running_since else 0.0
        if action.checkpoint:
            record.done_s += ran_s
        else:
            self._count_lost(record)
        saved_s = ran_s if action.checkpoint else 0.0
        record.running_since = 0.0
        record.releasing = True
        delay = CHECKPOINT_S if action.checkpoint else RELEASE_S
        attempt = record.attempt
        self._at(self.now + delay, lambda: self._released(record, attempt, saved_s))

    @_act.register
    def _(self, action: StopGang) -> None:
        record = self.records[action.job_id]
        record.attempt += 1
        record.placement = ()

    @_act.register
    def _(self, action: RefuseJob) -> None:
        self._end(self.records[action.job_id], "not_run")

    @_act.register
    def _(self, action: FailJob) -> None:
        record = self.records[action.job_id]
        record.failed_at = self.now
        self._end(record, "unknown")

    def _reject(self, record: RunRecord, attempt: int, worker: str) -> None:
        if attempt != record.attempt:
            return
        record.placement = ()
        self._wait(record)
        self._feed(WorkerSilent(worker))
        if attempt == record.attempt:
            self._feed(GangRejected(record.timed.job.job_id, worker, True))

    def _started(self, record: RunRecord, attempt: int) -> None:
        if attempt != record.attempt or record.outcome:
            return
        held = sum(len(member.accelerators) for member in record.placement)
        if held != record.timed.job.shape.accelerators:
            self.partial_gangs += 1
        record.starts += 1
        record.first_start = min(record.first_start, self.now)
        record.running_since = self.now
        failing = [m.worker for m in record.placement if m.worker in self._workload.failing]
        self._feed(GangStarted(record.timed.job.job_id))
        if failing:
            self._at(self.now + FAIL_AFTER_S, lambda: self._failed(record, attempt, failing[0]))
            return
        left_s = max(0.0, record.timed.run_s - record.done_s)
        self._at(self.now + left_s, lambda: self._finished(record, attempt))

    def _failed(self, record: RunRecord, attempt: int, worker: str) -> None:
        if attempt != record.attempt or record.outcome:
            return
        self._count_lost(record)
        record.running_since = 0.0
        record.placement = ()
        self._wait(record)
        self._feed(JobFailed(record.timed.job.job_id, worker))

    def _finished(self, record: RunRecord, attempt: int) -> None:
        if attempt != record.attempt or record.outcome:
            return
        if any(member.worker in self._silent for member in record.placement):
            return  # nobody hears of it; the loss of the worker ends the gang
        self._end(record, "done")
        record.ended = self.now
        self._feed(JobFinished(record.timed.job.job_id, record.timed.run_s))

    def _released(self, record: RunRecord, attempt: int, saved_s: float) -> None:
        if attempt != record.attempt:
            return
        waiting = [
            m.worker
            for m in record.placement
            if m.worker in self._silent and m.worker not in self._gone
        ]
        if waiting:
            self._at(self.now + RELEASE_S, lambda: self._released(record, attempt, saved_s))
            return
        record.placement = ()
        record.releasing = False
        self._wait(record)
        self._feed(GangReleased(record.timed.job.job_id, saved_s))

    def _count_lost(self, record: RunRecord) -> None:
        if record.running_since:
            ran_s = self.now - record.running_since
            self.lost_accelerator_s += ran_s * record.timed.job.shape.accelerators

    def _end(self, record: RunRecord, outcome: str) -> None:
        record.outcome = outcome
        record.placement = ()
        self._wait_no_more(record)
        self._unfinished -= 1
        key = record.timed.job.slot_key
        if record.timed.job.claims and key in self._open_claims:
            self._open_claims[key] -= 1
