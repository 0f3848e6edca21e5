"""The platform's executors: fences, leases, gangs, ended runs, checkpoints and late orders.

The ``spec`` of a job defines how its tasks behave: with ``run_s=2 fail=1`` a task runs for two
seconds and its first run fails; with ``fail=9`` its first nine runs fail, which is more than
the attempts of any queue.
"""

import json

import attrs
from gevent.event import Event

__all__ = ["Executor", "Run", "RunHistory"]

MAX_LEASE_S = 6.0
STOP_DURATION_S = 0.1
# Stops that are ordered together complete at this many different times, by the index of the task.
DISTINCT_STOP_TIMES = 4
GANG_START_TIMEOUT_S = 3.0
CHECKPOINT_RESTORE_S = 0.6
CHECKPOINT_INTERVAL_S = 2.0
MAX_POLL_WAIT_S = 2.0
MAX_LISTED_ENDS = 500
# Without impairment, an end counts as taken note of once it has stood in the list for this time.
NOTED_AFTER_S = 0.1


@attrs.define(eq=False)
class Run:
    """A run of a task; the run history keeps all of them.

    :param task: id of the task.
    :param number: number of the run, which increases with each run of the task.
    :param executor: name of the executor.
    :param started_at: time at which the executor accepted the run, in seconds.
    :param run_s: time that the whole work takes, in seconds.
    :param fails: whether the run fails at its end.
    :param restored_s: work restored from a checkpoint, in seconds.
    :param slowdown: factor by which the work takes longer since ``work_started_at``.
    :param work_started_at: time at which the work began, in seconds; ``None`` while a gang is
        incomplete.
    :param outcome: how the run ended: ``done``, ``failed``, ``stopped``, ``lapsed`` (the executor's
        lease expired), ``alone`` (the gang stayed incomplete), ``broken`` (another member of the
        gang ended without being done), ``crashed`` or ``exited``; empty while it runs.
    :param checkpoint: work in the last checkpoint, as a decimal number of seconds; empty if none.
    :param stops_at: time at which a requested stop completes, in seconds.
    :param stood_in_list: whether the end stood in the list of the executor for 0.1 s, asked for or
        not, before the lease of the executor lapsed.
    :param acknowledged: whether the end was acknowledged before the lease of the executor lapsed.
    :param listed_at: when the end was first sent in an answer, before that lease lapsed, in
        seconds; ``None`` before.
    """

    task: str
    number: int
    executor: str
    started_at: float
    run_s: float
    fails: bool
    checkpointing: bool
    restored_s: float = 0.0
    slowdown: float = 1.0
    work_started_at: float | None = None
    ended_at: float | None = None
    outcome: str = ""
    checkpoint: str = ""
    stops_at: float | None = None
    stood_in_list: bool = False
    acknowledged: bool = False
    listed_at: float | None = None

    @property
    def work_ends_at(self) -> float:
        """Time at which the work ends, once it has begun, in seconds."""
        return self.work_started_at + (self.run_s - self.restored_s) * self.slowdown


@attrs.define
class SubmittedJob:
    """A job as its client submitted it, for the behaviour of executors and the checks.

    :param steps: steps of the job, as submitted.
    :param queue: queue that it was handed in to.
    :param accepted: whether a VM accepted the job.
    :param maybe_accepted: whether any attempt to submit it was not refused.
    :param cancel_sent: whether a cancellation was sent, with or without an answer.
    :param cancelled_at: time at which the cancellation was confirmed, in seconds; ``None`` before.
    """

    steps: list[dict]
    queue: str = ""
    accepted: bool = False
    maybe_accepted: bool = False
    cancel_sent: bool = False
    cancelled_at: float | None = None


class RunHistory:
    """All runs of all executors and all submitted jobs, against which tests check invariants.

    ``ticketed_executors`` holds the names of the executors for which the advice service issues
    tickets, by job; other jobs need no ticket.
    """

    def __init__(self):
        self.runs: list[Run] = []
        self.jobs: dict[str, SubmittedJob] = {}
        self.ticketed_executors: dict[str, set[str]] = {}
        self._gangs: dict[tuple[str, int], list[Run]] = {}

    def step_of(self, task: str) -> dict:
        """Return the step of a task as it was submitted."""
        job, _, step, _ = task.rsplit(".", 3)
        return self.jobs[job].steps[int(step)]

    def ticket_for(self, task: str, executor: str) -> str | None:
        """Return the ticket that a start needs.

        :return: ``None`` if no ticket is needed; empty if the executor may not run the task.
        """
        job = task.split(".", 1)[0]
        allowed = self.ticketed_executors.get(job)
        if allowed is None:
            return None
        return f"ticket {job} {executor}" if executor in allowed else ""

    def join_gang(self, run: Run, now: float) -> None:
        """Add a run to its gang; the work begins once all members have joined."""
        step = self.step_of(run.task)
        members = self._gangs.setdefault((run.task.rsplit(".", 1)[0], run.number), [])
        members.append(run)
        if len(members) == step.get("count", 1):
            for member in members:
                member.work_started_at = now + (CHECKPOINT_RESTORE_S if member.restored_s else 0.0)

    def other_members(self, run: Run) -> list[Run]:
        """Return the other members of a run's gang."""
        key = (run.task.rsplit(".", 1)[0], run.number)
        return [member for member in self._gangs.get(key, []) if member is not run]

    def overlaps(self) -> list[tuple[Run, Run]]:
        """Return pairs of runs of one task that ran at the same time."""
        pairs = []
        by_task: dict[str, list[Run]] = {}
        for run in self.runs:
            for other in by_task.setdefault(run.task, []):
                if other.ended_at is None or other.ended_at > run.started_at:
                    pairs.append((other, run))
            by_task[run.task].append(run)
        return pairs

    def runs_after_done(self, calm: bool = False) -> list[Run]:
        """Return runs that started after an earlier run was done and its end was taken note of.

        :param calm: whether there was no impairment; an end counts then as taken note of once it
            has stood in the list, although it may never be acknowledged.
        """
        done: dict[str, float] = {}
        for run in self.runs:
            noted = run.acknowledged or (calm and run.stood_in_list)
            if run.outcome == "done" and noted:
                done.setdefault(run.task, run.ended_at)
        return [run for run in self.runs if run.started_at > done.get(run.task, float("inf"))]

    def runs_after_listed_done(self) -> list[tuple[Run, Run]]:
        """Return pairs of a run that was done and listed so, and a run that started after it."""
        done: dict[str, Run] = {}
        for run in self.runs:
            if run.outcome == "done" and run.listed_at is not None:
                done.setdefault(run.task, run)
        return [
            (done[run.task], run)
            for run in self.runs
            if run.task in done and run.started_at > done[run.task].ended_at
        ]


class Executor:
    """An emulated executor, which runs tasks under a lease.

    :param entry: the part of its registration that does not change.
    :param clock: time of the emulated platform.
    :param run_history: records the runs of all executors.
    :param max_lease_s: longest lease that is granted, in seconds.

    If ``failing`` is set, all tasks that it starts fail, after ``fails_after_s`` if that is set,
    also while their gang is incomplete; if ``rejects_starts`` is set, it responds
    with 503 to starts.
    """

    def __init__(
        self,
        name: str,
        entry: dict,
        clock,
        run_history: RunHistory,
        max_lease_s: float = MAX_LEASE_S,
    ):
        self.name = name
        self.entry = entry
        self.fence = 0
        self.failing = False
        self.fails_after_s: float | None = None
        self.rejects_starts = False
        self.exited_at: float | None = None
        self.incarnation = int(clock.wall() * 1000)
        self._clock = clock
        self._run_history = run_history
        self._max_lease_s = max_lease_s
        self._started_at = clock.now()
        self._lease_until_ms = 0.0
        self._lease_lapsed_at = 0.0
        self._highest_numbers: dict[str, int] = {}
        self._running: dict[str, Run] = {}
        self._ended: list[tuple[int, Run]] = []
        self._end_count = 0
        self._acked_upto = 0
        self._changed = Event()

    def registration(self, state: str = "ready") -> dict:
        """Return the entry that the executor writes to the store."""
        return {
            **self.entry,
            "state": state,
            "born": self.incarnation,
            "clock_ms": self.clock_ms(),
            "seq": 1,
            "slots": 8,
            "version": "v1",
            "cold_left_ms": 0,
        }

    def clock_ms(self) -> int:
        """Return the monotonic clock of the executor, in milliseconds."""
        return int((self._clock.now() - self._started_at) * 1000)

    def slow_down(self, factor: float) -> None:
        """Let the work that now runs here take longer from now on by a factor."""
        for run in self._running.values():
            run.restored_s = self._work_done_s(run)
            run.work_started_at = self._clock.now()
            run.slowdown = factor
        self._wake()

    def crash(self) -> None:
        """Crash and restart under the same id, as a new incarnation without state."""
        self.advance()
        for run in self._running.values():
            run.ended_at, run.outcome = self._clock.now(), "crashed"
        self.__init__(self.name, self.entry, self._clock, self._run_history, self._max_lease_s)
        self.incarnation += 1

    def exit(self) -> None:
        """Exit for good and end all runs; waiting calls are aborted."""
        self.advance()
        for run in self._running.values():
            run.ended_at, run.outcome = self._clock.now(), "exited"
        self._running.clear()
        self._ended.clear()
        self.exited_at = self._clock.now()
        self._wake()

    @property
    def idle_since(self) -> float | None:
        """When the last run ended, in seconds; ``None`` while anything runs."""
        self.advance()
        if self._running:
            return None
        return max((run.ended_at for _, run in self._ended), default=self._started_at)

    def record_listing(self, rows: list[list]) -> None:
        """Record that rows of ends have been sent in an answer."""
        runs = dict(self._ended)
        for number, *_ in rows:
            run = runs.get(number)
            if run is not None and run.listed_at is None and run.ended_at >= self._lease_lapsed_at:
                run.listed_at = self._clock.now()

    def handle(self, path: str, headers: dict, body: bytes) -> tuple[int, dict]:
        """Handle a call.

        :param path: path of the call, which selects the order.
        :param headers: headers as the client sent them.
        :return: status and decoded body of the response.
        """
        if headers.get("X-Expect-Instance", self.name) != self.name:
            return 421, {}
        req = json.loads(body)
        self.advance()
        if path == "/hold":
            return self._hold(req)
        if req.get("fence", 0) < self.fence:
            return 409, self._reply(reason="fence")
        self.fence = req.get("fence", 0)
        if path == "/run-start":
            return self._start(req)
        if path == "/run-stop":
            return self._stop(req["task"], req["run"])
        return 404, {}

    def _reply(self, **fields) -> dict:
        return {"clock_ms": self.clock_ms(), **fields}

    def _extend_lease(self, until_ms: int) -> None:
        latest_ms = self.clock_ms() + self._max_lease_s * 1000
        self._lease_until_ms = max(self._lease_until_ms, min(until_ms, latest_ms))

    def _start(self, req: dict) -> tuple[int, dict]:
        task, number = req["task"], req["run"]
        current = self._running.get(task)
        if current is not None and current.number == number:
            return 200, self._reply()
        if self.rejects_starts:
            return 503, {}
        if req["deadline_ms"] < self.clock_ms():
            return 409, self._reply(reason="late")
        self._extend_lease(req["deadline_ms"])
        if number <= self._highest_numbers.get(task, 0):
            return 409, self._reply(reason="old")
        ticket = self._run_history.ticket_for(task, self.name)
        if ticket is not None and req.get("ticket") != ticket:
            return 409, self._reply(reason="ticket")
        if not self._has_room(self._run_history.step_of(task)):
            return 409, self._reply(reason="room")
        self._start_run(req)
        return 200, self._reply()

    def _start_run(self, req: dict) -> None:
        now = self._clock.now()
        options = dict(word.split("=") for word in req["spec"].split() if "=" in word)
        task, number = req["task"], req["run"]
        failed_runs = sum(
            1 for run in self._run_history.runs if run.task == task and run.outcome == "failed"
        )
        step = self._run_history.step_of(task)
        run = Run(
            task,
            number,
            self.name,
            now,
            float(options.get("run_s", 1.0)),
            self.failing or failed_runs < int(options.get("fail", 0)),
            bool(step.get("checkpointing")),
            float(req["saved"]) if req.get("saved") else 0.0,
        )
        self._run_history.runs.append(run)
        self._running[task] = run
        self._highest_numbers[task] = number
        if step.get("gang"):
            self._run_history.join_gang(run, now)
        else:
            run.work_started_at = now + (CHECKPOINT_RESTORE_S if run.restored_s else 0.0)
        self._wake()

    def _has_room(self, step: dict) -> bool:
        running_steps = [self._run_history.step_of(task) for task in self._running]
        return all(
            sum(other.get(kind, 0) for other in running_steps) + step.get(kind, 0)
            <= self.entry["capacity"].get(kind, 0)
            for kind in ("cpu", "mem_mb", "gpu")
        )

    def _stop(self, task: str, number: int) -> tuple[int, dict]:
        self._highest_numbers[task] = max(self._highest_numbers.get(task, 0), number)
        run = self._running.get(task)
        if run is not None and run.number <= number and run.stops_at is None:
            index = int(task.rsplit(".", 1)[1])
            run.stops_at = self._clock.now() + STOP_DURATION_S * (1 + index % DISTINCT_STOP_TIMES)
            self._wake()
        return 200, self._reply()

    def _hold(self, req: dict) -> tuple[int, dict]:
        if req.get("fence", 0) < self.fence:
            return 409, self._reply(reason="fence")
        self.fence = req.get("fence", 0)
        if "deadline_ms" in req:
            self._extend_lease(req["deadline_ms"])
        self._acked_upto = max(self._acked_upto, req["acked_upto"])
        self._forget_acknowledged()
        ends_at = self._clock.now() + min(MAX_POLL_WAIT_S, req.get("wait_ms", 0) / 1000)
        while not self._ended and self._clock.now() < ends_at and self.exited_at is None:
            self._clock.wait(self._changed, min(ends_at, self._next_event_at()) - self._clock.now())
            self.advance()
        return 200, self._reply(
            born=self.incarnation,
            running=[
                [run.task, run.number, run.checkpoint, self._percent(run)]
                for run in self._running.values()
            ],
            ended=[
                [number, run.task, run.number, run.outcome, run.checkpoint]
                for number, run in self._ended[:MAX_LISTED_ENDS]
            ],
        )

    def _forget_acknowledged(self) -> None:
        """Forget the ends up to the highest acknowledged number, listed or not."""
        for number, run in self._ended:
            if number <= self._acked_upto:
                run.acknowledged = run.ended_at >= self._lease_lapsed_at
        self._ended = [end for end in self._ended if end[0] > self._acked_upto]

    def _percent(self, run: Run) -> int:
        return int(100 * min(1.0, self._work_done_s(run) / run.run_s))

    def _work_done_s(self, run: Run) -> float:
        if run.work_started_at is None:
            return run.restored_s
        return run.restored_s + max(0.0, self._clock.now() - run.work_started_at) / run.slowdown

    def _fails_at(self, run: Run) -> float:
        """Return when the executor fails a run of its own accord; infinite if it doesn't."""
        if not self.failing or self.fails_after_s is None:
            return float("inf")
        return run.started_at + self.fails_after_s

    def _next_event_at(self) -> float:
        times = [self._started_at + self._lease_until_ms / 1000]
        for run in self._running.values():
            if run.stops_at is not None:
                times.append(run.stops_at)
            if run.work_started_at is not None:
                times.append(run.work_ends_at)
            times.append(self._fails_at(run))
        return max(min(times), self._clock.now() + 0.005)

    def advance(self) -> None:
        """Apply what happened up to now: ended runs, expired leases and checkpoints."""
        now = self._clock.now()
        lapse_at = self._started_at + self._lease_until_ms / 1000
        if lapse_at <= now:
            self._lease_lapsed_at = lapse_at
        for run in list(self._running.values()):
            self._save_checkpoint(run)
            done_at = None
            if run.work_started_at is not None:
                done_at = run.work_ends_at
            fails_at = self._fails_at(run)
            if fails_at <= min(now, lapse_at):
                self._end(run, "failed", fails_at)
            elif done_at is not None and done_at <= min(now, lapse_at):
                self._end(run, "failed" if run.fails else "done", done_at)
            elif lapse_at <= now:
                self._end(run, "lapsed", lapse_at)
            elif run.stops_at is not None and run.stops_at <= now:
                self._end(run, "stopped", run.stops_at)
            elif run.work_started_at is None and now - run.started_at >= GANG_START_TIMEOUT_S:
                self._end(run, "alone", now)
            elif any(
                member.outcome not in ("", "done")
                for member in self._run_history.other_members(run)
            ):
                self._end(run, "broken", now)
        self._note_listed_ends(now)

    def _note_listed_ends(self, now: float) -> None:
        for _, run in self._ended[:MAX_LISTED_ENDS]:
            noted_at = run.ended_at + NOTED_AFTER_S
            if noted_at <= now and not run.ended_at <= self._lease_lapsed_at < noted_at:
                run.stood_in_list = True

    def _save_checkpoint(self, run: Run) -> None:
        if not run.checkpointing or run.work_started_at is None:
            return
        checkpoint_s = int(self._work_done_s(run) / CHECKPOINT_INTERVAL_S) * CHECKPOINT_INTERVAL_S
        run.checkpoint = str(checkpoint_s) if checkpoint_s else run.checkpoint

    def _end(self, run: Run, outcome: str, at: float) -> None:
        if outcome == "stopped" and run.checkpointing:
            run.checkpoint = str(round(self._work_done_s(run), 3))
        run.outcome, run.ended_at = outcome, at
        del self._running[run.task]
        self._end_count += 1
        self._ended.append((self._end_count, run))
        self._forget_acknowledged()
        self._wake()

    def _wake(self) -> None:
        changed, self._changed = self._changed, Event()
        changed.set()
