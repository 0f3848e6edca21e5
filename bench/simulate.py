"""Simulates a scheduling policy and its workers on virtual time, without network or processes."""

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
    DeferJob,
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

__all__ = ["Policy", "SimulationRecord", "Simulation"]

START_DELAY_S = 0.1
ORDER_TIMEOUT_S = 1.0
CHECKPOINT_DELAY_S = 1.0
RELEASE_DELAY_S = 0.1
FAIL_AFTER_S = 1.0
SILENCE_DETECTION_S = 1.7
LOST_AFTER_S = 4.0
TICK_INTERVAL_S = 10.0
HORIZON_FACTOR = 50.0


class Policy(Protocol):
    """A scheduling policy: the scheduler of this project or a baseline."""

    cluster: Cluster
    configured_shapes: tuple[Shape, ...]

    def handle(self, event: Event, now: float) -> list[Action]:
        """Process an event and return the resulting actions."""


@attrs.define
class SimulationRecord:
    """State and outcome of one job in a simulation. Times are in seconds.

    :param entitled: whether its team had a guarantee for its shape, at the submission, that no
        other unfinished job claimed.
    :param first_started_at: when all members first ran; infinite if never.
    :param ended_at: when the job finished; infinite if it did not.
    :param outcome: ``done``, ``cancelled``, ``not_run`` or ``unknown``; empty until it ends.
    :param start_count: how often its gang was started.
    :param done_s: run time saved by checkpoints.
    :param attempt: changes whenever the gang is started, evicted, stopped or lost, so that events
        scheduled for an earlier state are ignored.
    :param releasing: whether the gang was evicted and its workers have not released it yet.
    :param waiting: whether it is queued and waits for a block.
    """

    timed: TimedJob
    entitled: bool = False
    first_started_at: float = math.inf
    ended_at: float = math.inf
    failed_at: float = 0.0
    outcome: str = ""
    start_count: int = 0
    done_s: float = 0.0
    running_since: float = 0.0
    attempt: int = 0
    placement: Placement = ()
    releasing: bool = False
    waiting: bool = False


class Simulation:
    """One run of a policy over a workload.

    :param tick_interval_s: time between ticks, in seconds.
    """

    def __init__(
        self,
        deployment: Deployment,
        workload: Workload,
        policy: Policy,
        tick_interval_s: float = TICK_INTERVAL_S,
    ):
        self.records: dict[str, SimulationRecord] = {}
        self.lost_accelerator_s = 0.0
        self.decision_s: list[float] = []
        self.partial_gangs = 0
        self.now = 0.0
        self._deployment = deployment
        self._workload = workload
        self._policy = policy
        self._tick_interval_s = tick_interval_s
        self._events: list = []
        self._sequence = itertools.count()
        self._silent: set[str] = set()
        self._lost: set[str] = set()
        self._open_claims: dict = {}
        self._guaranteed = {slot.key: slot.count for slot in deployment.configuration().slots}
        self._fragmentation_integral = 0.0
        self._measured_s = 0.0
        self._waiting: collections.Counter[Shape] = collections.Counter()
        self._wait_fragmentation_integral = 0.0
        self._adjacency_wait_s = 0.0
        self._unfinished = len(workload.jobs)

    @property
    def fragmentation(self) -> float:
        """Time-averaged fragmentation over the measured window, 0..1."""
        return self._fragmentation_integral / self._measured_s if self._measured_s else 0.0

    @property
    def adjacency_wait_fragmentation(self) -> float:
        """Fragmentation weighted by the gangs that waited for adjacency alone, 0..1.

        Such a gang needs no more accelerators than are free, but no block holds it.
        """
        return (
            self._wait_fragmentation_integral / self._adjacency_wait_s
            if self._adjacency_wait_s
            else 0.0
        )

    @property
    def adjacency_wait_s(self) -> float:
        """Time that gangs waited for adjacency alone, in gang-seconds."""
        return self._adjacency_wait_s

    def run(self) -> None:
        """Run until every job has ended, or up to ``HORIZON_FACTOR`` times the measured window."""
        for info in self._deployment.worker_infos():
            self._send_event(WorkerJoined(info))
        self._send_event(self._deployment.configuration())
        self._schedule_workload()
        horizon = self._workload.window_end * HORIZON_FACTOR
        while self._events and self._unfinished and self.now < horizon:
            at, _, callback = heapq.heappop(self._events)
            self._accumulate(at)
            self.now = at
            callback()

    def _schedule_workload(self) -> None:
        workload = self._workload
        for timed in workload.jobs:
            self._schedule(timed.job.submitted_at, lambda t=timed: self._submit(t))
            if timed.cancel_at < math.inf:
                self._schedule(timed.cancel_at, lambda t=timed: self._cancel(t))
        for at, worker in workload.lost:
            self._schedule(at, lambda w=worker: self._make_silent(w))
        if workload.lost:
            self._schedule(workload.rejoin_at, self._rejoin_lost_workers)
        if workload.silent is not None:
            at, worker = workload.silent
            self._schedule(at, lambda: self._make_silent(worker))
        self._schedule(self._tick_interval_s, self._tick)

    def _schedule(self, when: float, callback) -> None:
        heapq.heappush(self._events, (when, next(self._sequence), callback))

    def _accumulate(self, until: float) -> None:
        end = min(until, self._workload.window_end)
        if end <= self.now:
            return
        span = end - self.now
        cluster, configured_shapes = self._policy.cluster, self._policy.configured_shapes
        if not configured_shapes:  # fragmentation is undefined
            return
        share = fragmentation_ratio(cluster, configured_shapes)
        gangs = self._waiting_for_adjacency(cluster)
        self._fragmentation_integral += span * share
        self._wait_fragmentation_integral += span * share * gangs
        self._adjacency_wait_s += span * gangs
        self._measured_s += span

    def _waiting_for_adjacency(self, cluster: Cluster) -> int:
        """Return how many waiting gangs would fit if the free accelerators were adjacent."""
        free = cluster.free_accelerators
        return sum(
            count
            for shape, count in self._waiting.items()
            if count and shape.accelerators <= free and not packable_accelerators(cluster, shape)
        )

    def _start_waiting(self, record: SimulationRecord) -> None:
        if not record.waiting:
            record.waiting = True
            self._waiting[record.timed.job.shape] += 1

    def _stop_waiting(self, record: SimulationRecord) -> None:
        if record.waiting:
            record.waiting = False
            self._waiting[record.timed.job.shape] -= 1

    def _send_event(self, event: Event) -> None:
        started = time.perf_counter()
        actions = self._policy.handle(event, self.now)
        self.decision_s.append(time.perf_counter() - started)
        for action in actions:
            self._execute(action)

    def _tick(self) -> None:
        self._send_event(Tick())
        self._schedule(self.now + self._tick_interval_s, self._tick)

    def _submit(self, timed: TimedJob) -> None:
        record = self.records[timed.job.job_id] = SimulationRecord(timed)
        key = timed.job.slot_key
        if timed.job.claims and key in self._guaranteed:
            record.entitled = self._open_claims.get(key, 0) < self._guaranteed[key]
            self._open_claims[key] = self._open_claims.get(key, 0) + 1
        self._start_waiting(record)
        self._send_event(JobSubmitted(timed.job))

    def _cancel(self, timed: TimedJob) -> None:
        record = self.records[timed.job.job_id]
        if record.outcome:
            return
        self._end_job(record, "cancelled")
        self._send_event(JobCancelled(timed.job.job_id))

    def _make_silent(self, worker: str) -> None:
        self._silent.add(worker)
        self._schedule(
            self.now + SILENCE_DETECTION_S, lambda: self._send_event(WorkerSilent(worker))
        )
        self._schedule(self.now + LOST_AFTER_S, lambda: self._mark_lost(worker))

    def _mark_lost(self, worker: str) -> None:
        self._lost.add(worker)
        for record in self.records.values():
            if record.placement and any(m.worker == worker for m in record.placement):
                if record.releasing:
                    continue
                self._count_lost_work(record)
                record.running_since = 0.0
                record.attempt += 1
        self._send_event(WorkerLost(worker))

    def _rejoin_lost_workers(self) -> None:
        infos = {info.worker: info for info in self._deployment.worker_infos()}
        for _, worker in self._workload.lost:
            self._silent.discard(worker)
            self._lost.discard(worker)
            self._send_event(WorkerJoined(infos[worker]))

    @singledispatchmethod
    def _execute(self, action: Action) -> None:
        raise TypeError(f"unknown action {type(action).__name__}")

    @_execute.register
    def _(self, action: StartGang) -> None:
        record = self.records[action.job_id]
        self._stop_waiting(record)
        record.attempt += 1
        record.placement = action.placement
        attempt = record.attempt
        silent = [m.worker for m in action.placement if m.worker in self._silent]
        if silent:
            callback = self._handle_rejection
            self._schedule(self.now + ORDER_TIMEOUT_S, lambda: callback(record, attempt, silent[0]))
            return
        self._schedule(self.now + START_DELAY_S, lambda: self._handle_start(record, attempt))

    @_execute.register
    def _(self, action: EvictGang) -> None:
        record = self.records[action.job_id]
        record.attempt += 1
        ran_s = self.now - record.running_since if record.running_since else 0.0
        if action.checkpoint:
            record.done_s += ran_s
        else:
            self._count_lost_work(record)
        saved_s = ran_s if action.checkpoint else 0.0
        record.running_since = 0.0
        record.releasing = True
        delay = CHECKPOINT_DELAY_S if action.checkpoint else RELEASE_DELAY_S
        attempt = record.attempt
        self._schedule(self.now + delay, lambda: self._handle_release(record, attempt, saved_s))

    @_execute.register
    def _(self, action: StopGang) -> None:
        record = self.records[action.job_id]
        record.attempt += 1
        record.placement = ()

    @_execute.register
    def _(self, action: DeferJob) -> None:
        return  # the job goes on waiting

    @_execute.register
    def _(self, action: RefuseJob) -> None:
        self._end_job(self.records[action.job_id], "not_run")

    @_execute.register
    def _(self, action: FailJob) -> None:
        record = self.records[action.job_id]
        record.failed_at = self.now
        self._end_job(record, "unknown")

    def _handle_rejection(self, record: SimulationRecord, attempt: int, worker: str) -> None:
        if attempt != record.attempt:
            return
        record.placement = ()
        self._start_waiting(record)
        self._send_event(WorkerSilent(worker))
        if attempt == record.attempt:
            self._send_event(GangRejected(record.timed.job.job_id, worker, True))

    def _handle_start(self, record: SimulationRecord, attempt: int) -> None:
        if attempt != record.attempt or record.outcome:
            return
        held = sum(len(member.accelerators) for member in record.placement)
        if held != record.timed.job.shape.accelerators:
            self.partial_gangs += 1
        record.start_count += 1
        record.first_started_at = min(record.first_started_at, self.now)
        record.running_since = self.now
        failing = [m.worker for m in record.placement if m.worker in self._workload.failing]
        self._send_event(GangStarted(record.timed.job.job_id))
        if failing:
            self._schedule(
                self.now + FAIL_AFTER_S, lambda: self._handle_failure(record, attempt, failing[0])
            )
            return
        remaining_s = max(0.0, record.timed.run_s - record.done_s)
        self._schedule(self.now + remaining_s, lambda: self._handle_finish(record, attempt))

    def _handle_failure(self, record: SimulationRecord, attempt: int, worker: str) -> None:
        if attempt != record.attempt or record.outcome:
            return
        self._count_lost_work(record)
        record.running_since = 0.0
        record.placement = ()
        self._start_waiting(record)
        self._send_event(JobFailed(record.timed.job.job_id, worker))

    def _handle_finish(self, record: SimulationRecord, attempt: int) -> None:
        if attempt != record.attempt or record.outcome:
            return
        if any(member.worker in self._silent for member in record.placement):
            # The end is not reported: the gang counts as lost with the worker.
            return
        self._end_job(record, "done")
        record.ended_at = self.now
        self._send_event(JobFinished(record.timed.job.job_id, record.timed.run_s))

    def _handle_release(self, record: SimulationRecord, attempt: int, saved_s: float) -> None:
        if attempt != record.attempt:
            return
        unconfirmed = [
            m.worker
            for m in record.placement
            if m.worker in self._silent and m.worker not in self._lost
        ]
        if unconfirmed:
            self._schedule(
                self.now + RELEASE_DELAY_S, lambda: self._handle_release(record, attempt, saved_s)
            )
            return
        record.placement = ()
        record.releasing = False
        self._start_waiting(record)
        self._send_event(GangReleased(record.timed.job.job_id, saved_s))

    def _count_lost_work(self, record: SimulationRecord) -> None:
        if record.running_since:
            ran_s = self.now - record.running_since
            self.lost_accelerator_s += ran_s * record.timed.job.shape.accelerators

    def _end_job(self, record: SimulationRecord, outcome: str) -> None:
        record.outcome = outcome
        record.placement = ()
        self._stop_waiting(record)
        self._unfinished -= 1
        key = record.timed.job.slot_key
        if record.timed.job.claims and key in self._open_claims:
            self._open_claims[key] -= 1
