"""The dependency graph of a job's steps and the progress through it; does no I/O.

The owner handles jobs of all clients in one thread. So the cost of a call grows at most with the
number of steps, dependencies and tasks of the job, and each dependency is followed once.
"""

from collections.abc import Iterable

import attrs

from lacewingmill.jobs.model import JobState, Step, Submission, TaskId, Unit

__all__ = ["JobGraph", "Progress", "StepDone", "UnitFailures"]


@attrs.frozen
class StepDone:
    """The tasks of a step that are done.

    :param bitmap: one bit per task, little-endian; bit 0 is the task with index 0.
    """

    occurrence: int
    step: int
    bitmap: bytes


@attrs.frozen
class UnitFailures:
    """The failed runs of a unit.

    :param index: index of the unit's first task.
    :param runs: numbers of the runs that failed.
    """

    occurrence: int
    step: int
    index: int
    runs: tuple[int, ...]


@attrs.frozen
class Progress:
    """The stored progress of a job.

    :param done: empty for a job in a final state, as is ``failures``.
    :param ended_at: wall-clock time at which the job ended, in seconds since the epoch; 0 before.
    """

    state: JobState
    done: tuple[StepDone, ...] = ()
    failures: tuple[UnitFailures, ...] = ()
    ended_at: float = 0.0


class JobGraph:
    """A job whose steps become ready once the steps that they depend on are done.

    ``started`` is set once any task of the job has started, and ``checkpoints`` holds the latest
    checkpoint of each unit by the unit's first task.

    :param revision: store revision at which the job was accepted.
    """

    def __init__(self, submission: Submission, revision: int):
        self.submission = submission
        self.revision = revision
        self.state = JobState.QUEUED
        self.ended_at = 0.0
        self.started = False
        self.due_after_s = submission.due_after_s()
        self.checkpoints: dict[TaskId, str] = {}
        self._done: dict[tuple[int, int], set[int]] = {}
        self._failures: dict[Unit, set[int]] = {}
        self._dependents = _dependents(submission.steps)
        # For each occurrence that has become due, and each step of it: the number of steps that it
        # depends on and that are not done.
        self._missing: list[list[int]] = []
        self._ready: list[tuple[int, int]] = []
        self._unfinished = submission.timing.occurrences * len(submission.steps)
        self._observed_steps: set[tuple[int, int]] = set()

    def restore(self, progress: Progress) -> None:
        """Load stored progress."""
        self.state = progress.state
        self.ended_at = progress.ended_at
        for step_done in progress.done:
            key = (step_done.occurrence, step_done.step)
            self._add_done(key, _bitmap_indexes(step_done.bitmap))
        for failures in progress.failures:
            unit = self.unit_of(
                TaskId(self.submission.job_id, failures.occurrence, failures.step, failures.index)
            )
            self._failures[unit] = set(failures.runs)
        self.started = bool(self._done or self._failures)

    def progress(self) -> Progress:
        """Return the progress to store."""
        if self.state.final:
            return Progress(self.state, ended_at=self.ended_at)
        done = []
        for (occurrence, step), indexes in self._done.items():
            done.append(StepDone(occurrence, step, _bitmap(indexes)))
        failures = [
            UnitFailures(unit.occurrence, unit.step, unit.indexes[0], tuple(sorted(runs)))
            for unit, runs in self._failures.items()
        ]
        return Progress(self.state, tuple(done), tuple(failures))

    def take_ready_units(self, wall: float) -> list[Unit]:
        """Return the units that are ready to start and were not returned before.

        :param wall: wall-clock time, in seconds since the epoch.
        """
        if self.state.final:
            return []
        timing = self.submission.timing
        while len(self._missing) < timing.occurrences:
            if timing.starts_at(len(self._missing)) > wall:
                break
            self._begin_occurrence()
        ready, self._ready = sorted(self._ready), []
        return [unit for key in ready for unit in self._units_to_start(*key)]

    def unit_of(self, task: TaskId) -> Unit:
        """Return the unit that holds a task."""
        step = self.submission.steps[task.step]
        indexes = tuple(range(step.count)) if step.gang else (task.index,)
        return Unit(task.job_id, task.occurrence, task.step, indexes)

    def has_task(self, task: TaskId) -> bool:
        """Whether the job contains a task."""
        return (
            0 <= task.occurrence < self.submission.timing.occurrences
            and 0 <= task.step < len(self.submission.steps)
            and 0 <= task.index < self.submission.steps[task.step].count
        )

    def is_done(self, unit: Unit) -> bool:
        """Whether a unit is done."""
        done = self._done.get((unit.occurrence, unit.step), set())
        return unit.indexes[0] in done

    def mark_done(self, unit: Unit, wall: float) -> None:
        """Record that a unit is done; the job is completed when all of its units are."""
        if self.state.final:
            return
        self.started = True
        self._add_done((unit.occurrence, unit.step), unit.indexes)
        self._failures.pop(unit, None)
        if not self._unfinished:
            self._end(JobState.COMPLETED, wall)

    def complete_dependencies(self, task: TaskId, wall: float) -> None:
        """Mark all steps as done that a started task depends on.

        An owner starts a task only after those steps have ended, but it may have crashed before it
        stored that. Its occurrence counts as due, because the clock of that owner may be ahead.
        """
        if self.state.final:
            return
        while len(self._missing) <= task.occurrence:
            self._begin_occurrence()
        steps = self.submission.steps
        seen = set(steps[task.step].after)
        remaining = list(seen)
        while remaining:
            number = remaining.pop()
            key = (task.occurrence, number)
            if self._step_done(key):
                continue  # and so are the steps that it depends on
            self._complete_step(key)
            new = set(steps[number].after) - seen
            seen |= new
            remaining.extend(new)
        if not self._unfinished:
            self._end(JobState.COMPLETED, wall)

    def record_observed(self, unit: Unit) -> None:
        """Record that this owner has seen a unit run, or has ordered its start."""
        self._observed_steps.add((unit.occurrence, unit.step))

    def maybe_started_earlier(self, unit: Unit) -> bool:
        """Whether an earlier owner may have started the unit's step.

        It cannot have if a step that this one depends on has run under this owner.
        """
        after = self.submission.steps[unit.step].after
        return all((unit.occurrence, number) not in self._observed_steps for number in after)

    def is_ready(self, unit: Unit) -> bool:
        """Whether the unit's step has become ready, as far as this owner knows."""
        if unit.occurrence >= len(self._missing):
            return False
        return not self._missing[unit.occurrence][unit.step]

    def record_failure(self, unit: Unit, run: int, wall: float) -> None:
        """Record that a run of a unit failed; the job fails when its attempts are used up.

        Distinct runs are counted, because a worker may list the same failure again to a new owner.
        Failures of steps that run until the job is cancelled don't count.
        """
        if self.state.final or self.submission.steps[unit.step].lasting:
            return
        runs = self._failures.setdefault(unit, set())
        runs.add(run)
        if len(runs) >= self.submission.attempts:
            self._end(JobState.FAILED, wall)

    def cancel(self, wall: float) -> None:
        """Cancel the job, unless it has ended."""
        if not self.state.final:
            self._end(JobState.CANCELLED, wall)

    def _begin_occurrence(self) -> None:
        """Add the next occurrence, which has become due; some of its steps may be ready."""
        number = len(self._missing)
        steps = self.submission.steps
        unfinished = {step for step in range(len(steps)) if not self._step_done((number, step))}
        missing = [len(unfinished.intersection(step.after)) for step in steps]
        self._missing.append(missing)
        self._ready.extend((number, step) for step, count in enumerate(missing) if not count)

    def _units_to_start(self, occurrence: int, number: int) -> list[Unit]:
        """Return the units of a step that are not done."""
        step = self.submission.steps[number]
        done = self._done.get((occurrence, number), set())
        first_tasks = range(1) if step.gang else range(step.count)
        return [
            self.unit_of(TaskId(self.submission.job_id, occurrence, number, index))
            for index in first_tasks
            if index not in done
        ]

    def _complete_step(self, key: tuple[int, int]) -> None:
        self.started = True
        self._add_done(key, range(self.submission.steps[key[1]].count))
        failed = [unit for unit in self._failures if (unit.occurrence, unit.step) == key]
        for unit in failed:
            del self._failures[unit]

    def _add_done(self, key: tuple[int, int], indexes: Iterable[int]) -> None:
        """Record tasks as done; the last one of a step may make other steps ready."""
        if self._step_done(key):
            return
        self._done.setdefault(key, set()).update(indexes)
        if not self._step_done(key):
            return
        self._unfinished -= 1
        number, step = key
        if number >= len(self._missing):
            return
        missing = self._missing[number]
        for dependent in self._dependents[step]:
            missing[dependent] -= 1
            if not missing[dependent]:
                self._ready.append((number, dependent))

    def _step_done(self, key: tuple[int, int]) -> bool:
        return len(self._done.get(key, ())) == self.submission.steps[key[1]].count

    def _end(self, state: JobState, wall: float) -> None:
        self.state = state
        self.ended_at = wall


def _dependents(steps: tuple[Step, ...]) -> list[list[int]]:
    """Return for each step the steps that depend on it."""
    dependents: list[list[int]] = [[] for _ in steps]
    for number, step in enumerate(steps):
        for earlier in set(step.after):
            dependents[earlier].append(number)
    return dependents


def _bitmap(indexes: set[int]) -> bytes:
    """Return a little-endian bitmap of task indexes."""
    bitmap = bytearray(max(indexes, default=-1) // 8 + 1)
    for index in indexes:
        bitmap[index // 8] |= 1 << index % 8
    return bytes(bitmap)


def _bitmap_indexes(bitmap: bytes) -> list[int]:
    """Return the task indexes of a little-endian bitmap."""
    return [
        8 * position + bit
        for position, byte in enumerate(bitmap)
        for bit in range(8)
        if byte >> bit & 1
    ]
