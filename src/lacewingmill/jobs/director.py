"""The owner's side of jobs: turns the scheduler's actions into orders to workers."""

from collections.abc import Callable
from functools import singledispatchmethod

import attrs
import gevent
from gevent.event import Event as Signal

from lacewingmill.events import EventLog, LogEvent
from lacewingmill.jobs.election import Tenure
from lacewingmill.jobs.graph import JobGraph, Progress
from lacewingmill.jobs.keys import PROGRESS_PREFIX, WORKERS_KEY, progress_key
from lacewingmill.jobs.ledger import Ledger
from lacewingmill.jobs.messages import WorkersUsed
from lacewingmill.jobs.model import JobState, QueueTable, Submission, TaskId, Unit
from lacewingmill.jobs.planning import new_scheduler, team_quotas, unit_job, worker_node_of
from lacewingmill.jobs.ports import (
    HoldReport,
    RunEnd,
    RunEnded,
    RunListed,
    TransactionStore,
    WorkerEntry,
    WorkerOrders,
)
from lacewingmill.jobs.settings import PlatformLimits
from lacewingmill.jobs.units import ActiveUnit, Closing, Member, MemberState
from lacewingmill.jobs.worker_link import StartResult, WorkerLink
from lacewingmill.ports import Clock, Meter, Meters
from lacewingmill.scheduling.messages import (
    Action,
    Event,
    EvictGang,
    FailJob,
    GangRecovered,
    GangRejected,
    GangReleased,
    GangStarted,
    JobCancelled,
    JobFailed,
    JobFinished,
    JobSubmitted,
    Placement,
    RefuseJob,
    RunningGang,
    StartGang,
    StopGang,
    Tick,
    WorkerAnswered,
    WorkerJoined,
    WorkerLeaving,
    WorkerLost,
    WorkerSilent,
)
from lacewingmill.scheduling.messages import Member as Share
from lacewingmill.scheduling.scheduler import Scheduler

__all__ = ["Director", "DirectorParts"]

TICK_S = 0.5
# Runs of different owners must never share a number; an owner starts a unit far less often.
RUNS_PER_TERM = 1000
# A new owner waits so long for the workers' first answers before it plans.
CONTACT_S = 0.8
CONTACT_POLL_S = 0.02
PARKED_RETRY_S = 1.0


@attrs.frozen
class DirectorParts:
    """What a director is built from."""

    store: TransactionStore
    orders: WorkerOrders
    clock: Clock
    log: EventLog
    meters: Meters
    limits: PlatformLimits
    table: Callable[[], QueueTable | None]


class Director:
    """Directs all workers under one tenure.

    :param tenure: its fence goes with every order.
    :param deposed: called when another VM proves to be the owner.
    """

    def __init__(self, parts: DirectorParts, tenure: Tenure, deposed: Callable[[], None]):
        self._parts = parts
        self._clock = parts.clock
        self._log = parts.log
        self._meters = parts.meters
        self._began_at = parts.clock.now()
        self._ended_at: dict[str, float] = {}
        self.tenure = tenure
        self._deposed = deposed
        self.open = False
        self.graphs: dict[str, JobGraph] = {}
        self.shown: dict[str, JobState] = {}
        self._links: dict[str, WorkerLink] = {}
        self._recorded: set[str] = set()
        self._unrecorded: list[WorkerLink] = []
        self._active: dict[str, ActiveUnit] = {}
        self._runs: dict[str, int] = {}
        self._parked: dict[str, Unit] = {}
        self._schedulers: dict[str, Scheduler] = {}
        self._events: list[tuple[str, Event]] = []
        self._found: dict[str, dict[TaskId, tuple[WorkerLink, RunListed]]] = {}
        self._held_back: set[str] = set()
        self._uncertain: list[WorkerLink] = []
        self._hidden_until = 0.0
        self._wake = Signal()
        self._stopped = False
        self._mix_version = 0
        self.ledger = Ledger(parts.store, parts.clock, tenure.fence, self._committed, self.fenced)
        self._loops = []

    def stop(self) -> None:
        """Direct no more; what runs goes on under its leases."""
        self._stopped = True
        self.ledger.stop()
        for link in self._links.values():
            link.stop()
        gevent.killall(self._loops, block=False)

    def run(self) -> None:
        """Plan until the tenure ends."""
        self._loops.append(gevent.spawn(self._tick))
        while not self._stopped:
            self._wake.wait()
            self._wake.clear()
            if self.open and self.tenure.valid and not self._stopped:
                self._plan()

    # Jobs

    def submit(self, submission: Submission, revision: int) -> None:
        """Take an accepted job in; repeating a submission is harmless."""
        if submission.job_id in self.graphs:
            return
        graph = JobGraph(submission, revision)
        self.graphs[submission.job_id] = graph
        self.shown[submission.job_id] = JobState.QUEUED
        self._log.emit(LogEvent.JOB_TAKEN, job=submission.job_id, queue=submission.queue)
        if self.open:
            self._open_units(graph)

    def restore(self, submission: Submission, revision: int, progress: Progress | None) -> None:
        """Take a job in that was found in the store when the tenure began."""
        graph = JobGraph(submission, revision)
        self.graphs[submission.job_id] = graph
        if progress is not None:
            graph.restore(progress)
        self.shown[submission.job_id] = graph.state

    def cancel(self, job_id: str) -> Signal | None:
        """Give a job up; the signal is set once that is stored, ``None`` for an unknown job."""
        graph = self.graphs.get(job_id)
        if graph is None:
            return None
        if graph.state.final:
            return self._store_progress(graph)
        graph.cancel(self._clock.wall())
        self._log.emit(LogEvent.JOB_CANCELLED, job=job_id)
        return self._end_job(graph)

    def state(self, job_id: str) -> JobState | None:
        """Return what a caller may be told of a job; ``None`` when it is unheard of."""
        graph = self.graphs.get(job_id)
        if graph is None:
            return None
        shown = self.shown[job_id]
        if shown.final:
            return shown
        return JobState.RUNNING if graph.begun else JobState.QUEUED

    def waiting(self, queue: str) -> int:
        """Return how many accepted jobs of a queue no task of which has started."""
        return sum(
            1
            for graph in self.graphs.values()
            if graph.submission.queue == queue and not graph.begun and not graph.state.final
        )

    @property
    def backlog(self) -> int:
        """Number of units that wait."""
        return sum(scheduler.queued for scheduler in self._schedulers.values())

    @property
    def running(self) -> int:
        """Number of units that hold workers."""
        return len(self._active)

    def forget(self, job_id: str) -> None:
        """Forget a job whose keys are gone from the store."""
        self.graphs.pop(job_id, None)
        self.shown.pop(job_id, None)
        self.ledger.forget(progress_key(job_id))

    # Workers

    def set_workers(self, entries: dict[str, WorkerEntry]) -> None:
        """Take in the list of workers."""
        for worker, entry in entries.items():
            link = self._links.get(worker)
            if link is None:
                self._links[worker] = self._new_link(entry)
                continue
            was_leaving = link.entry.leaving
            link.entry = entry
            if not link.listed:
                link.listed = True
                self._feed_worker(link, WorkerLeaving(worker, stays=not entry.leaving))
            elif entry.leaving != was_leaving:
                self._log.emit(LogEvent.TARGET_LEAVING, target=worker, leaving=entry.leaving)
                self._feed_worker(link, WorkerLeaving(worker, stays=not entry.leaving))
        for worker in [name for name in self._links if name not in entries]:
            self._unlist(self._links[worker])
        if any(worker not in self._recorded for worker in self._links):
            self._record_workers()

    def restore_workers(self, used: WorkersUsed) -> None:
        """Ask the workers that earlier owners used, though they may not be listed now."""
        for entry in used.entries:
            self._recorded.add(entry.worker)
            self._links[entry.worker] = self._new_link(entry)

    def _record_workers(self) -> None:
        """Store which workers may run something, before they are given anything."""
        entries = tuple(link.entry for link in self._links.values())
        self.ledger.stage(WORKERS_KEY, WorkersUsed(entries))

    def _admit_recorded(self) -> None:
        waiting, self._unrecorded = self._unrecorded, []
        for link in waiting:
            if link.opened:
                self._admit(link)

    def _new_link(self, entry: WorkerEntry) -> WorkerLink:
        return WorkerLink(
            entry, self._parts.orders, self.tenure, self._clock, self._parts.limits, self
        )

    def _unlist(self, link: WorkerLink) -> None:
        """A worker is listed no more: it has left, or has not been heard of for long."""
        if link.listed:
            link.listed = False
            self._log.emit(LogEvent.WORKER_UNLISTED, worker=link.worker, leaving=link.entry.leaving)
            self._feed_worker(link, WorkerLeaving(link.worker))
            link.expect_exit(link.entry.leaving)
        if link.idle and self._may_forget(link):
            link.stop()
            del self._links[link.worker]
            self._parts.orders.forget(link.entry)
            if link.opened:
                self._feed_worker(link, WorkerLost(link.worker, left=True))

    def _may_forget(self, link: WorkerLink) -> bool:
        """Whether nothing can run on an unlisted worker; a takeover waits for its answer."""
        return self.open and link not in self._uncertain

    def link_opened(self, link: WorkerLink, report: HoldReport) -> None:
        """A worker has answered for the first time, or after it had been given up."""
        if link.worker in self._recorded:
            self._admit(link)
        else:
            self._unrecorded.append(link)

    def _admit(self, link: WorkerLink) -> None:
        """Let the scheduler use a worker."""
        self._log.emit(LogEvent.WORKER_JOINED, worker=link.worker)
        node = worker_node_of(link.entry)
        leaving = link.entry.leaving or not link.listed
        self._feed_worker(link, WorkerJoined(node, leaving))

    def link_reported(self, link: WorkerLink, report: HoldReport) -> list[Signal]:
        """Take in a worker's lists."""
        for listed in report.running:
            self._see_running(link, listed)
        written = []
        for ended in report.ended:
            signal = self._see_end(link, ended)
            if signal is not None:
                written.append(signal)
        return written

    def member_gone(self, link: WorkerLink, member: Member) -> None:
        """A member certainly runs no more, though no end of it was listed."""
        member.state = MemberState.GONE
        active = self._find_active(member.task)
        if active is None or active.members.get(member.task) is not member:
            return
        self._close(active, Closing.LOST, link.worker)

    def link_silent(self, link: WorkerLink) -> None:
        """A worker does not answer, or says that it is not well."""
        self._log.emit(LogEvent.WORKER_SILENT, worker=link.worker)
        self._feed_worker(link, WorkerSilent(link.worker))

    def link_answers(self, link: WorkerLink) -> None:
        """A worker answers again."""
        self._feed_worker(link, WorkerAnswered(link.worker))

    def link_lost(self, link: WorkerLink) -> None:
        """All leases on a worker have certainly lapsed."""
        self._log.emit(LogEvent.WORKER_LOST, worker=link.worker, left=not link.listed)
        self._feed_worker(link, WorkerLost(link.worker, left=not link.listed))

    def fenced(self) -> None:
        """Another VM is the owner."""
        if not self._stopped:
            self._stopped = True
            gevent.spawn(self._deposed)

    # Takeover

    def take_over(self, hold_back_s: float) -> None:
        """Read what runs, then begin to plan.

        :param hold_back_s: how long workers that do not answer may run what an earlier owner
            started, in seconds; 0 when there was none.
        """
        end = self._clock.now() + CONTACT_S
        while self._clock.now() < end and not all(link.opened for link in self._links.values()):
            self._clock.sleep(CONTACT_POLL_S)
        silent = [link for link in self._links.values() if not link.opened]
        self._uncertain = silent if hold_back_s > 0 else []
        self._hidden_until = self._clock.now() + hold_back_s
        self._flush_workers()
        for graph in self.graphs.values():
            self._adopt_job(graph, bool(silent) and hold_back_s > 0)
        self._found.clear()
        self.open = True
        self._meters.observe(Meter.TAKEOVER, self._clock.now() - self._began_at)
        self._log.emit(
            LogEvent.JOBS_RECOVERED,
            jobs=len(self.graphs),
            running=len(self._active),
            silent=len(silent),
            held_back=len(self._held_back),
        )
        if self._uncertain:
            self._loops.append(gevent.spawn(self._release_later, silent, hold_back_s))
        self._wake.set()

    def _flush_workers(self) -> None:
        """Let the schedulers know the workers before what runs on them is adopted."""
        events, self._events = self._events, []
        for service, event in events:
            for action in self._scheduler(service).handle(event, self._clock.now()):
                self._act(action)

    def _adopt_job(self, graph: JobGraph, uncertain: bool) -> None:
        job_id = graph.submission.job_id
        hold_back = uncertain and graph.revision < self.tenure.fence
        found = self._found.get(job_id, {})
        if graph.state.final:
            for task, (link, listed) in found.items():
                gevent.spawn(link.stop_stray, task, listed.run)
            return
        for unit in graph.open_units(self._clock.wall()):
            runs = {t: found[t] for t in map(unit.task, unit.indexes) if t in found}
            if runs:
                self._adopt_unit(graph, unit, runs, self._hidden_until if hold_back else 0.0)
            elif hold_back:
                self._held_back.add(unit.unit_id)
                self._parked[unit.unit_id] = unit
            else:
                self._queue_unit(graph, unit)

    def _adopt_unit(
        self,
        graph: JobGraph,
        unit: Unit,
        runs: dict[TaskId, tuple[WorkerLink, RunListed]],
        hidden_until: float,
    ) -> None:
        """Go on with a unit that runs.

        A gang of which a part is missing is closed, unless that part may run unseen: a member that
        lasts shows that the whole gang was there.

        :param hidden_until: until when workers that do not answer may run a part, in seconds.
        """
        now = self._clock.now()
        members = {
            task: Member(task, listed.run, link.worker, MemberState.RUNNING, now)
            for task, (link, listed) in runs.items()
        }
        run = max(member.run for member in members.values())
        active = ActiveUnit(unit, graph, run, members, now, now)
        whole = len(members) == len(unit.indexes)
        if not whole:
            active.hidden_until = hidden_until
        graph.begun = True
        self._active[unit.unit_id] = active
        scheduler = self._scheduler(graph.submission.service)
        job = unit_job(graph, unit, self._clock)
        placement = self._placement(scheduler, members, job.shape.unit_accelerators)
        gang = RunningGang(job, placement, job.urgent, now)
        for action in scheduler.handle(GangRecovered(gang), now):
            self._act(action)
        for link, listed in runs.values():
            link.expect(members[listed.task])
        mixed = any(member.run != run for member in members.values())
        if mixed or (not whole and not hidden_until):
            self._close(active, Closing.LOST, "")

    def _placement(
        self, scheduler: Scheduler, members: dict[TaskId, Member], size: int
    ) -> Placement:
        counts: dict[str, int] = {}
        for member in members.values():
            counts[member.worker] = counts.get(member.worker, 0) + 1
        shares = []
        for worker, count in counts.items():
            free = scheduler.cluster.nodes[worker].free
            shares.append(Share(worker, tuple(free[: count * size]), count))
        return tuple(shares)

    def _release_later(self, silent: list[WorkerLink], hold_back_s: float) -> None:
        """Queue what was held back once nothing of an earlier owner can run unseen."""
        end = self._clock.now() + hold_back_s
        while self._clock.now() < end and not all(link.opened for link in silent):
            self._clock.sleep(TICK_S)
        self._held_back.clear()
        self._uncertain = []
        self._retry_parked()

    # Units

    def _open_units(self, graph: JobGraph) -> None:
        for unit in graph.open_units(self._clock.wall()):
            self._queue_unit(graph, unit)

    def _queue_unit(self, graph: JobGraph, unit: Unit) -> None:
        service = graph.submission.service
        self._feed(service, JobSubmitted(unit_job(graph, unit, self._clock)))

    def _see_running(self, link: WorkerLink, listed: RunListed) -> None:
        task = listed.task
        graph = self.graphs.get(task.job_id)
        if graph is not None and graph.has_task(task) and listed.saved:
            self._keep_saved(graph, task, listed.saved)
        member = link.members.get(task)
        if member is not None and member.run == listed.run:
            return
        if not self.open:
            self._found.setdefault(task.job_id, {})[task] = (link, listed)
            return
        if self._adoptable(graph, task):
            self._adopt_late(link, graph, listed)
            return
        if self._unhide(link, listed):
            return
        self._log.emit(LogEvent.STRAY_STOPPED, worker=link.worker, task=str(task), run=listed.run)
        gevent.spawn(link.stop_stray, task, listed.run)

    def _adoptable(self, graph: JobGraph | None, task: TaskId) -> bool:
        """Whether a run found late may go on: only work that was held back for it."""
        if graph is None or graph.state.final or not graph.has_task(task):
            return False
        unit = graph.unit_of(task)
        return unit.unit_id in self._held_back and len(unit.indexes) == 1

    def _adopt_late(self, link: WorkerLink, graph: JobGraph, listed: RunListed) -> None:
        unit = graph.unit_of(listed.task)
        self._held_back.discard(unit.unit_id)
        self._parked.pop(unit.unit_id, None)
        self._flush_workers()
        self._adopt_unit(graph, unit, {listed.task: (link, listed)}, 0.0)

    def _unhide(self, link: WorkerLink, listed: RunListed) -> bool:
        """Take a member in that ran unseen; return whether its gang goes on."""
        active = self._find_active(listed.task)
        if active is None or active.closing is not None or active.run != listed.run:
            return False
        if not active.hidden_until:
            return False
        member = Member(
            listed.task, listed.run, link.worker, MemberState.RUNNING, self._clock.now()
        )
        active.members[listed.task] = member
        link.expect(member)
        if len(active.members) == len(active.unit.indexes):
            active.hidden_until = 0.0
        return True

    def _keep_saved(self, graph: JobGraph, task: TaskId, saved: str) -> None:
        """Remember a checkpoint; one of any member serves its whole gang."""
        unit = graph.unit_of(task)
        graph.saved[unit.task(unit.indexes[0])] = saved

    def _see_end(self, link: WorkerLink, ended: RunEnded) -> Signal | None:
        """Take in an end; return what must be written before the worker may forget it."""
        graph = self.graphs.get(ended.task.job_id)
        if graph is None or not graph.has_task(ended.task):
            return None
        unit = graph.unit_of(ended.task)
        if ended.saved:
            self._keep_saved(graph, ended.task, ended.saved)
        active = self._active.get(unit.unit_id)
        member = active.members.get(ended.task) if active is not None else None
        if member is not None and member.run == ended.run:
            member.state = MemberState.GONE
            link.drop(member)
        else:
            active = None
        self._meters.count(Meter.RUNS, end=ended.end.value)
        self._log.emit(
            LogEvent.RUN_ENDED,
            worker=link.worker,
            unit=unit.unit_id,
            run=ended.run,
            end=ended.end.value,
        )
        return self._take_end(link, graph, unit, active, ended)

    def _take_end(
        self,
        link: WorkerLink,
        graph: JobGraph,
        unit: Unit,
        active: ActiveUnit | None,
        ended: RunEnded,
    ) -> Signal | None:
        if ended.end is RunEnd.DONE:
            return self._finish(graph, unit, active)
        if ended.end is RunEnd.FAILED and (active is None or not active.failure_counted):
            return self._fail(link, graph, unit, ended.run, active)
        if active is not None:
            self._close(active, Closing.LOST, link.worker)
        return None

    def _finish(self, graph: JobGraph, unit: Unit, active: ActiveUnit | None) -> Signal | None:
        if graph.submission.steps[unit.step].lasting:
            if active is not None:
                self._close(active, Closing.LOST, "")
            return None
        if graph.state.final:
            stored = self.shown[graph.submission.job_id] is graph.state
            if active is not None:
                self._close(active, Closing.FINISHED, "")
            return None if stored else self._store_progress(graph)
        if not graph.is_done(unit):
            graph.finish(unit, self._clock.wall())
        if active is not None:
            self._close(active, Closing.FINISHED, "")
        else:
            self._withdraw(graph, unit)
        if graph.state.final:
            return self._end_job(graph)
        signal = self._store_progress(graph)
        if self.open:  # a takeover first sees what runs
            self._open_units(graph)
        return signal

    def _fail(
        self,
        link: WorkerLink,
        graph: JobGraph,
        unit: Unit,
        run: int,
        active: ActiveUnit | None,
    ) -> Signal:
        graph.fail(unit, run, self._clock.wall())
        if active is not None:
            active.failure_counted = True
            self._close(active, Closing.FAILED, link.worker)
        if graph.state is JobState.FAILED:
            self._log.emit(
                LogEvent.JOB_FAILED,
                job=graph.submission.job_id,
                unit=unit.unit_id,
                attempts=graph.submission.attempts,
            )
            return self._end_job(graph)
        return self._store_progress(graph)

    def _end_job(self, graph: JobGraph) -> Signal:
        """Store a final state and give back all that the job holds."""
        job_id = graph.submission.job_id
        self._ended_at.setdefault(job_id, self._clock.now())
        self._log.emit(LogEvent.JOB_ENDED, job=job_id, state=graph.state.value)
        signal = self._store_progress(graph)
        for active in [a for a in self._active.values() if a.graph is graph]:
            self._close(active, Closing.CANCELLED, "")
        scheduler = self._scheduler(graph.submission.service)
        prefix = f"{job_id}/"
        waiting = [unit_id for unit_id in scheduler.records if unit_id.startswith(prefix)]
        for unit_id in waiting:
            if unit_id not in self._active:
                self._feed(graph.submission.service, JobCancelled(unit_id))
        for unit_id in [parked for parked in self._parked if parked.startswith(prefix)]:
            del self._parked[unit_id]
        return signal

    def _withdraw(self, graph: JobGraph, unit: Unit) -> None:
        """Take a unit back that an earlier run has done."""
        self._parked.pop(unit.unit_id, None)
        if unit.unit_id in self._active:
            self._close(self._active[unit.unit_id], Closing.CANCELLED, "")
        else:
            self._feed(graph.submission.service, JobCancelled(unit.unit_id))

    def _close(self, active: ActiveUnit, why: Closing, blamed: str) -> None:
        """Give a unit's workers back; the scheduler hears of it when no member is left."""
        first = active.closing is None
        if first or why in (Closing.FAILED, Closing.CANCELLED, Closing.FINISHED):
            active.closing = why if active.closing is not Closing.FINISHED else Closing.FINISHED
            active.blamed = blamed or active.blamed
        if first and why not in (Closing.FINISHED, Closing.FAILED):
            for member in active.members.values():
                self._let_go(member)
        self._settle(active)

    def _let_go(self, member: Member) -> None:
        if member.state is MemberState.PLANNED:
            member.state = MemberState.GONE
        link = self._links.get(member.worker)
        if member.gone:
            if link is not None:
                link.drop(member)
            return
        if link is None:
            member.state = MemberState.GONE
            return
        gevent.spawn(link.stop_run, member)

    def _settle(self, active: ActiveUnit) -> None:
        unit_id = active.unit.unit_id
        if not active.all_gone or self._active.get(unit_id) is not active:
            return
        if active.closing is not Closing.FINISHED and self._clock.now() < active.hidden_until:
            gevent.spawn(self._settle_later, active)
            return
        del self._active[unit_id]
        service = active.graph.submission.service
        if active.closing is Closing.FINISHED:
            ran_s = self._clock.now() - (active.started_at or active.ordered_at)
            self._feed(service, JobFinished(unit_id, ran_s))
        elif active.closing is Closing.FAILED and not active.graph.state.final:
            self._feed(service, JobFailed(unit_id, active.blamed))
        elif active.graph.state.final or active.closing is Closing.CANCELLED:
            self._feed(service, JobCancelled(unit_id))
            self._feed(service, GangReleased(unit_id, 0.0))
        elif active.closing is Closing.EVICTED:
            saved = active.step.checkpoint and active.started_at
            saved_s = self._clock.now() - active.started_at if saved else 0.0
            self._feed(service, GangReleased(unit_id, saved_s))
        else:
            self._feed(service, GangRejected(unit_id, active.blamed, silent=True))
            self._feed(service, GangReleased(unit_id, 0.0))

    def _settle_later(self, active: ActiveUnit) -> None:
        self._clock.sleep(active.hidden_until - self._clock.now())
        self._settle(active)

    # Planning

    def _tick(self) -> None:
        retried_at = self._clock.now()
        while not self._stopped:
            self._clock.sleep(TICK_S)
            if not self.open:
                continue
            for graph in list(self.graphs.values()):
                if graph.submission.timing.times:
                    self._open_units(graph)
            for worker in [name for name, link in self._links.items() if not link.listed]:
                self._unlist(self._links[worker])
            if self._clock.now() - retried_at > PARKED_RETRY_S:
                retried_at = self._clock.now()
                self._retry_parked()
            self._wake.set()

    def _retry_parked(self) -> None:
        for unit_id, unit in list(self._parked.items()):
            if unit_id in self._held_back:
                continue
            del self._parked[unit_id]
            graph = self.graphs.get(unit.job_id)
            if graph is not None and not graph.state.final and not graph.is_done(unit):
                self._queue_unit(graph, unit)

    def _plan(self) -> None:
        self._follow_table()
        events, self._events = self._events, []
        now = self._clock.now()
        for service, scheduler in self._schedulers.items():
            mine = [event for name, event in events if name == service] or [Tick()]
            for action in scheduler.handle_all(mine, now):
                self._act(action)

    def _follow_table(self) -> None:
        table = self._parts.table()
        if table is None or table.version == self._mix_version:
            return
        self._mix_version = table.version
        for service, scheduler in self._schedulers.items():
            self._events.append((service, team_quotas(table, service, scheduler)))

    def _scheduler(self, service: str) -> Scheduler:
        scheduler = self._schedulers.get(service)
        if scheduler is None:
            scheduler = self._schedulers[service] = new_scheduler()
            self._mix_version = 0
        return scheduler

    def _feed(self, service: str, event: Event) -> None:
        self._scheduler(service)
        self._events.append((service, event))
        self._wake.set()

    def _feed_worker(self, link: WorkerLink, event: Event) -> None:
        self._feed(link.entry.service, event)

    def _find_active(self, task: TaskId) -> ActiveUnit | None:
        graph = self.graphs.get(task.job_id)
        if graph is None or not graph.has_task(task):
            return None
        return self._active.get(graph.unit_of(task).unit_id)

    @singledispatchmethod
    def _act(self, action: Action) -> None:
        raise TypeError(f"unknown action {type(action).__name__}")

    @_act.register
    def _(self, action: StartGang) -> None:
        unit = _parse_unit(action.job_id, self.graphs)
        graph = self.graphs.get(action.job_id.partition("/")[0])
        if unit is None or graph is None or graph.state.final or graph.is_done(unit):
            self._feed_all(JobCancelled(action.job_id))
            return
        self._start_unit(graph, unit, action.placement)

    @_act.register
    def _(self, action: EvictGang) -> None:
        active = self._active.get(action.job_id)
        if active is None:
            self._feed_all(GangReleased(action.job_id, 0.0))
            return
        self._meters.count(Meter.EVICTIONS)
        self._log.emit(LogEvent.UNIT_EVICTED, unit=action.job_id, for_unit=action.for_job)
        self._close(active, Closing.EVICTED, "")

    @_act.register
    def _(self, action: StopGang) -> None:
        return  # units are stopped before the scheduler hears that their job is over

    @_act.register
    def _(self, action: RefuseJob) -> None:
        unit = _parse_unit(action.job_id, self.graphs)
        if unit is not None:
            self._log.emit(LogEvent.UNIT_PARKED, unit=action.job_id, reason=action.reason)
            self._parked[action.job_id] = unit

    @_act.register
    def _(self, action: FailJob) -> None:
        unit = _parse_unit(action.job_id, self.graphs)
        graph = self.graphs.get(unit.job_id) if unit is not None else None
        if graph is not None and not graph.state.final:
            self._parked[action.job_id] = unit

    def _feed_all(self, event: Event) -> None:
        for service in self._schedulers:
            self._feed(service, event)

    def _start_unit(self, graph: JobGraph, unit: Unit, placement: Placement) -> None:
        base = (self.tenure.owner.term - 1) * RUNS_PER_TERM
        run = self._runs.get(unit.unit_id, base) + 1
        self._runs[unit.unit_id] = run
        members = {}
        indexes = iter(unit.indexes)
        for share in placement:
            for _ in range(share.units):
                task = unit.task(next(indexes))
                members[task] = Member(task, run, share.worker)
        active = ActiveUnit(unit, graph, run, members, self._clock.now())
        self._active[unit.unit_id] = active
        self._log.emit(
            LogEvent.UNIT_ORDERED,
            unit=unit.unit_id,
            run=run,
            workers=[share.worker for share in placement],
        )
        for member in members.values():
            link = self._links.get(member.worker)
            if link is None:
                self._close(active, Closing.REJECTED, member.worker)
                return
            link.expect(member)
        for member in members.values():
            gevent.spawn(self._start_member, active, member)

    def _start_member(self, active: ActiveUnit, member: Member) -> None:
        link = self._links.get(member.worker)
        if link is None or active.closing is not None:
            return
        graph = active.graph
        saved = graph.saved.get(active.unit.task(active.unit.indexes[0]), "")
        sent_at = self._clock.now()
        result = link.start(member, graph.submission.spec, saved)
        self._meters.count(Meter.ORDERS, outcome=result.value)
        self._meters.observe(Meter.ORDER, self._clock.now() - sent_at)
        if member.state is MemberState.RUNNING:
            self._begin(graph)
            if active.all_running and not active.started_at:
                active.started_at = self._clock.now()
                self._feed(graph.submission.service, GangStarted(active.unit.unit_id))
            return
        if member.gone:
            return
        if result in (StartResult.NO_ROOM, StartResult.UNHEALTHY, StartResult.INVALID):
            member.state = MemberState.GONE
            link.drop(member)
        if result is StartResult.SUPERSEDED:
            member.state = MemberState.GONE
            link.drop(member)
            self._runs[active.unit.unit_id] = max(self._runs[active.unit.unit_id], active.run) + 1
        if active.closing is None:
            self._log.emit(
                LogEvent.UNIT_REJECTED,
                unit=active.unit.unit_id,
                run=active.run,
                worker=member.worker,
                reason=result.value,
            )
        self._close(active, Closing.REJECTED, member.worker)

    def _store_progress(self, graph: JobGraph) -> Signal:
        return self.ledger.stage(progress_key(graph.submission.job_id), graph.progress())

    def _begin(self, graph: JobGraph) -> None:
        if not graph.begun:
            graph.begun = True
            waited_s = self._clock.wall() - graph.submission.accepted_at
            self._meters.observe(Meter.FIRST_START, max(0.0, waited_s))

    def _committed(self, key: str, message: Progress | WorkersUsed) -> None:
        if isinstance(message, WorkersUsed):
            self._recorded = {entry.worker for entry in message.entries}
            self._admit_recorded()
            return
        job_id = key.removeprefix(PROGRESS_PREFIX)
        if job_id not in self.shown:
            return
        self.shown[job_id] = message.state
        ended_at = self._ended_at.pop(job_id, None)
        if message.state.final and ended_at is not None:
            self._meters.observe(Meter.SHOWN, self._clock.now() - ended_at)
            self._meters.count(Meter.JOBS, outcome=message.state.value, cause="")


def _parse_unit(unit_id: str, graphs: dict[str, JobGraph]) -> Unit | None:
    job_id, occurrence, step, index = unit_id.split("/")
    graph = graphs.get(job_id)
    if graph is None:
        return None
    return graph.unit_of(TaskId(job_id, int(occurrence), int(step), int(index)))
