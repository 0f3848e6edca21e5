"""The platform's executors: fences, leases, gangs, ends, checkpoints and late orders.

A job's ``spec`` says how its tasks behave: ``run_s=2 fail=1`` runs for two seconds and fails its
first run; ``fail=9`` fails always.
"""

import json

import attrs
from gevent.event import Event

__all__ = ["Executor", "Run", "RunBook"]

LONGEST_HOLD_S = 6.0
STOP_S = 0.1
# Stops of a worker's tasks end at so many different moments.
STOP_SPREAD = 4
GANG_WAIT_S = 3.0
RESTORE_S = 0.6
SAVE_EVERY_S = 2.0
LONGEST_WAIT_S = 2.0


@attrs.define(eq=False)
class Run:
    """One run of a task, kept for ever by the run book.

    :param done_before: work restored from a checkpoint, in seconds.
    :param works_from: when the work began, in seconds; ``None`` while a gang gathers.
    """

    task: str
    number: int
    executor: str
    started_at: float
    run_s: float
    fails: bool
    checkpointing: bool
    done_before: float = 0.0
    work_started_at: float | None = None
    ended_at: float | None = None
    outcome: str = ""
    saved: str = ""
    stopping_at: float | None = None
    acknowledged: bool = False


@attrs.define
class SubmittedJob:
    """What callers handed in, for the executors' behaviour and the checks."""

    steps: list[dict]
    accepted: bool = False
    cancelled_at: float | None = None


class RunHistory:
    """Everything that ever ran, and what was handed in; tests check promises against it."""

    def __init__(self):
        self.runs: list[Run] = []
        self.jobs: dict[str, SubmittedJob] = {}
        self.ticketed_executors: dict[str, set[str]] = {}
        self._gangs: dict[tuple[str, int], list[Run]] = {}

    def step_of(self, task: str) -> dict:
        """Return the step of a task as it was handed in."""
        job, _, step, _ = task.rsplit(".", 3)
        return self.jobs[job].steps[int(step)]

    def ticket_for(self, task: str, executor: str) -> str | None:
        """Return the ticket that a start needs; empty bars the executor, ``None`` needs none."""
        job = task.split(".", 1)[0]
        good = self.ticketed_executors.get(job)
        if good is None:
            return None
        return f"ticket {job} {executor}" if executor in good else ""

    def join_gang(self, run: Run, now: float) -> None:
        """Let a gang work once all its members are present."""
        step = self.step_of(run.task)
        mates = self._gangs.setdefault((run.task.rsplit(".", 1)[0], run.number), [])
        mates.append(run)
        if len(mates) == step.get("count", 1):
            for mate in mates:
                mate.work_started_at = now + (RESTORE_S if mate.done_before else 0.0)

    def mates(self, run: Run) -> list[Run]:
        """Return the other members of a run's gang."""
        key = (run.task.rsplit(".", 1)[0], run.number)
        return [mate for mate in self._gangs.get(key, []) if mate is not run]

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

    def runs_after_done(self) -> list[Run]:
        """Return runs that started after the task had ended as done and that was noted."""
        done: dict[str, float] = {}
        for run in self.runs:
            if run.outcome == "done" and run.acknowledged:
                done.setdefault(run.task, run.ended_at)
        return [run for run in self.runs if run.started_at > done.get(run.task, float("inf"))]


class Executor:
    """One executor; ``handle`` answers one call.

    :param entry: its static description, as it registers it.
    """

    def __init__(self, name: str, entry: dict, clock, run_history: RunHistory):
        self.name = name
        self.entry = entry
        self.fence = 0
        self.failing = False
        self.unwell = False
        self.exited_at: float | None = None
        self.born = int(clock.wall() * 1000)
        self._clock = clock
        self._run_history = run_history
        self._born_at = clock.now()
        self._until = 0.0
        self._lapsed_at = 0.0
        self._highest: dict[str, int] = {}
        self._running: dict[str, Run] = {}
        self._ended: list[tuple[int, Run]] = []
        self._number = 0
        self._changed = Event()

    def registration(self, state: str = "ready") -> dict:
        """Return what it writes to the store."""
        return {
            **self.entry,
            "state": state,
            "born": self.born,
            "clock_ms": self.clock_ms(),
            "seq": 1,
            "slots": 8,
            "version": "v1",
            "cold_left_ms": 0,
        }

    def clock_ms(self) -> int:
        """Return its own steady clock, in milliseconds."""
        return int((self._clock.now() - self._born_at) * 1000)

    def crash(self) -> None:
        """Lose everything, as by a crash and a restart under the same id."""
        self.advance()
        for run in self._running.values():
            run.ended_at, run.outcome = self._clock.now(), "crashed"
        self.__init__(self.name, self.entry, self._clock, self._run_history)
        self.born += 1

    def exit(self) -> None:
        """End for good with all that runs; calls that wait here are broken off."""
        self.advance()
        for run in self._running.values():
            run.ended_at, run.outcome = self._clock.now(), "exited"
        self._running.clear()
        self.exited_at = self._clock.now()
        self._wake()

    def handle(self, path: str, headers: dict, body: bytes) -> tuple[int, dict]:
        """Answer a call."""
        if headers.get("X-Expect-Instance", self.name) != self.name:
            return 421, {}
        req = json.loads(body)
        self.advance()
        if path == "/hold":
            return self._hold(req)
        if req.get("fence", 0) < self.fence:
            return 409, self._told(reason="fence")
        self.fence = req.get("fence", 0)
        if path == "/run-start":
            return self._start(req)
        if path == "/run-stop":
            return self._stop(req["task"], req["run"])
        return 404, {}

    def _told(self, **fields) -> dict:
        return {"clock_ms": self.clock_ms(), **fields}

    def _extend(self, until_ms: int) -> None:
        longest = self.clock_ms() + LONGEST_HOLD_S * 1000
        self._until = max(self._until, min(until_ms, longest))

    def _start(self, req: dict) -> tuple[int, dict]:
        task, number = req["task"], req["run"]
        current = self._running.get(task)
        if current is not None and current.number == number:
            return 200, self._told()
        if self.unwell:
            return 503, {}
        if req["deadline_ms"] < self.clock_ms():
            return 409, self._told(reason="late")
        self._extend(req["deadline_ms"])
        if number <= self._highest.get(task, 0):
            return 409, self._told(reason="old")
        wanted = self._run_history.ticket_for(task, self.name)
        if wanted is not None and req.get("ticket") != wanted:
            return 409, self._told(reason="ticket")
        if not self._has_room(self._run_history.step_of(task)):
            return 409, self._told(reason="room")
        self._run(req)
        return 200, self._told()

    def _run(self, req: dict) -> None:
        now = self._clock.now()
        behaviour = dict(word.split("=") for word in req["spec"].split() if "=" in word)
        task, number = req["task"], req["run"]
        runs_before = sum(
            1 for run in self._run_history.runs if run.task == task and run.outcome == "failed"
        )
        step = self._run_history.step_of(task)
        run = Run(
            task,
            number,
            self.name,
            now,
            float(behaviour.get("run_s", 1.0)),
            self.failing or runs_before < int(behaviour.get("fail", 0)),
            bool(step.get("checkpointing")),
            float(req["saved"]) if req.get("saved") else 0.0,
        )
        self._run_history.runs.append(run)
        self._running[task] = run
        self._highest[task] = number
        if step.get("gang"):
            self._run_history.join_gang(run, now)
        else:
            run.work_started_at = now + (RESTORE_S if run.done_before else 0.0)
        self._wake()

    def _has_room(self, step: dict) -> bool:
        used = [self._run_history.step_of(task) for task in self._running]
        return all(
            sum(other.get(kind, 0) for other in used) + step.get(kind, 0)
            <= self.entry["capacity"].get(kind, 0)
            for kind in ("cpu", "mem_mb", "gpu")
        )

    def _stop(self, task: str, number: int) -> tuple[int, dict]:
        self._highest[task] = max(self._highest.get(task, 0), number)
        run = self._running.get(task)
        if run is not None and run.number <= number and run.stopping_at is None:
            index = int(task.rsplit(".", 1)[1])
            run.stopping_at = self._clock.now() + STOP_S * (1 + index % STOP_SPREAD)
            self._wake()
        return 200, self._told()

    def _hold(self, req: dict) -> tuple[int, dict]:
        if req.get("fence", 0) < self.fence:
            return 409, self._told(reason="fence")
        self.fence = req.get("fence", 0)
        if "deadline_ms" in req:
            self._extend(req["deadline_ms"])
        for number, run in self._ended:
            if number <= req["acked_upto"]:
                run.acknowledged = run.ended_at >= self._lapsed_at
        self._ended = [row for row in self._ended if row[0] > req["acked_upto"]]
        ends_at = self._clock.now() + min(LONGEST_WAIT_S, req.get("wait_ms", 0) / 1000)
        while not self._ended and self._clock.now() < ends_at and self.exited_at is None:
            self._clock.wait(self._changed, min(ends_at, self._next_event()) - self._clock.now())
            self.advance()
        return 200, self._told(
            born=self.born,
            running=[
                [run.task, run.number, run.saved, self._percent(run)]
                for run in self._running.values()
            ],
            ended=[
                [number, run.task, run.number, run.outcome, run.saved]
                for number, run in self._ended
            ],
        )

    def _percent(self, run: Run) -> int:
        return int(100 * min(1.0, self._done_s(run) / run.run_s))

    def _done_s(self, run: Run) -> float:
        if run.work_started_at is None:
            return run.done_before
        return run.done_before + max(0.0, self._clock.now() - run.work_started_at)

    def _next_event(self) -> float:
        times = [self._born_at + self._until / 1000]
        for run in self._running.values():
            if run.stopping_at is not None:
                times.append(run.stopping_at)
            if run.work_started_at is not None:
                times.append(run.work_started_at + run.run_s - run.done_before)
        return max(min(times), self._clock.now() + 0.005)

    def advance(self) -> None:
        """Let time take effect: ends, lapses and checkpoints up to now."""
        now = self._clock.now()
        lapse_at = self._born_at + self._until / 1000
        if lapse_at <= now:
            self._lapsed_at = lapse_at
        for run in list(self._running.values()):
            if run.checkpointing and run.work_started_at is not None:
                kept = int(self._done_s(run) / SAVE_EVERY_S) * SAVE_EVERY_S
                run.saved = str(kept) if kept else run.saved
            done_at = None
            if run.work_started_at is not None:
                done_at = run.work_started_at + run.run_s - run.done_before
            if done_at is not None and done_at <= min(now, lapse_at):
                self._end(run, "failed" if run.fails else "done", done_at)
            elif lapse_at <= now:
                self._end(run, "lapsed", lapse_at)
            elif run.stopping_at is not None and run.stopping_at <= now:
                self._end(run, "stopped", run.stopping_at)
            elif run.work_started_at is None and now - run.started_at >= GANG_WAIT_S:
                self._end(run, "alone", now)
            elif any(mate.outcome not in ("", "done") for mate in self._run_history.mates(run)):
                self._end(run, "broken", now)

    def _end(self, run: Run, outcome: str, at: float) -> None:
        if outcome == "stopped" and run.checkpointing:
            run.saved = str(round(self._done_s(run), 3))
        run.outcome, run.ended_at = outcome, at
        del self._running[run.task]
        self._number += 1
        self._ended.append((self._number, run))
        self._wake()

    def _wake(self) -> None:
        changed, self._changed = self._changed, Event()
        changed.set()
