"""The dependency graph of a job's steps and the progress through it; does no I/O."""

import attrs

from lacewingmill.jobs.model import JobState, Submission, TaskId, Unit

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
        self.checkpoints: dict[TaskId, str] = {}
        self._done: dict[tuple[int, int], set[int]] = {}
        self._failures: dict[Unit, set[int]] = {}
        self._ready_steps: set[tuple[int, int]] = set()
        self._observed_steps: set[tuple[int, int]] = set()

    def restore(self, progress: Progress) -> None:
        """Load stored progress."""
        self.state = progress.state
        self.ended_at = progress.ended_at
        for step_done in progress.done:
            bits = int.from_bytes(step_done.bitmap, "little")
            indexes = {index for index in range(bits.bit_length()) if bits >> index & 1}
            self._done[(step_done.occurrence, step_done.step)] = indexes
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
            bits = sum(1 << index for index in indexes)
            bitmap = bits.to_bytes((bits.bit_length() + 7) // 8, "little")
            done.append(StepDone(occurrence, step, bitmap))
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
        units: list[Unit] = []
        for occurrence in range(self.submission.timing.occurrences):
            if self.submission.timing.starts_at(occurrence) > wall:
                break
            for number in range(len(self.submission.steps)):
                units.extend(self._take_ready_step(occurrence, number))
        return units

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
        self._done.setdefault((unit.occurrence, unit.step), set()).update(unit.indexes)
        self._failures.pop(unit, None)
        if self._all_done():
            self._end(JobState.COMPLETED, wall)

    def complete_dependencies(self, task: TaskId, wall: float) -> None:
        """Mark all steps as done that a started task depends on.

        An owner starts a task only after those steps have ended, but it may have crashed before it
        stored that.
        """
        for number in self.submission.steps[task.step].after:
            dependency = TaskId(task.job_id, task.occurrence, number, 0)
            self.complete_dependencies(dependency, wall)
            for index in range(self.submission.steps[number].count):
                self.mark_done(self.unit_of(attrs.evolve(dependency, index=index)), wall)

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
        return (unit.occurrence, unit.step) in self._ready_steps

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

    def _take_ready_step(self, occurrence: int, number: int) -> list[Unit]:
        key = (occurrence, number)
        step = self.submission.steps[number]
        if key in self._ready_steps or not all(self._step_done(occurrence, n) for n in step.after):
            return []
        self._ready_steps.add(key)
        done = self._done.get(key, set())
        first_tasks = range(1) if step.gang else range(step.count)
        return [
            self.unit_of(TaskId(self.submission.job_id, occurrence, number, index))
            for index in first_tasks
            if index not in done
        ]

    def _step_done(self, occurrence: int, number: int) -> bool:
        done = self._done.get((occurrence, number), set())
        return len(done) == self.submission.steps[number].count

    def _all_done(self) -> bool:
        return all(
            self._step_done(occurrence, number)
            for occurrence in range(self.submission.timing.occurrences)
            for number in range(len(self.submission.steps))
        )

    def _end(self, state: JobState, wall: float) -> None:
        self.state = state
        self.ended_at = wall
