"""The progress of one job through its steps; pure, without I/O."""

import attrs

from lacewingmill.jobs.model import JobState, Submission, TaskId, Unit

__all__ = ["JobGraph", "Progress", "StepDone", "UnitFailures"]


@attrs.frozen
class StepDone:
    """The tasks of a step that are done, one bit each, lowest index first."""

    occurrence: int
    step: int
    bitmap: bytes


@attrs.frozen
class UnitFailures:
    """The runs of a unit that failed; ``index`` is that of its first task."""

    occurrence: int
    step: int
    index: int
    runs: tuple[int, ...]


@attrs.frozen
class Progress:
    """What is stored of a job's progress.

    :param ended_at: wall-clock time of a final state, in seconds since the epoch.
    """

    state: JobState
    done: tuple[StepDone, ...] = ()
    failures: tuple[UnitFailures, ...] = ()
    ended_at: float = 0.0


class JobGraph:
    """A job whose steps run when the steps that they need are done.

    :param revision: revision of the store at which the job was accepted.
    """

    def __init__(self, submission: Submission, revision: int):
        self.submission = submission
        self.revision = revision
        self.state = JobState.QUEUED
        self.ended_at = 0.0
        self.begun = False
        self.saved: dict[TaskId, str] = {}
        self._done: dict[tuple[int, int], set[int]] = {}
        self._failures: dict[Unit, set[int]] = {}
        self._opened: set[tuple[int, int]] = set()

    def restore(self, progress: Progress) -> None:
        """Take in stored progress."""
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
        self.begun = bool(self._done or self._failures)

    def progress(self) -> Progress:
        """Return what is to be stored."""
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

    def open_units(self, wall: float) -> list[Unit]:
        """Return the units that may start now and were not returned before.

        :param wall: wall-clock time, in seconds since the epoch.
        """
        if self.state.final:
            return []
        units: list[Unit] = []
        for occurrence in range(self.submission.timing.occurrences):
            if self.submission.timing.due_at(occurrence) > wall:
                break
            for number in range(len(self.submission.steps)):
                units.extend(self._open_step(occurrence, number))
        return units

    def unit_of(self, task: TaskId) -> Unit:
        """Return the unit that holds a task."""
        step = self.submission.steps[task.step]
        indexes = tuple(range(step.count)) if step.gang else (task.index,)
        return Unit(task.job_id, task.occurrence, task.step, indexes)

    def has_task(self, task: TaskId) -> bool:
        """Whether the job has such a task."""
        return (
            0 <= task.occurrence < self.submission.timing.occurrences
            and 0 <= task.step < len(self.submission.steps)
            and 0 <= task.index < self.submission.steps[task.step].count
        )

    def is_done(self, unit: Unit) -> bool:
        """Whether a unit is done."""
        done = self._done.get((unit.occurrence, unit.step), set())
        return unit.indexes[0] in done

    def finish(self, unit: Unit, wall: float) -> None:
        """Take in that a unit is done."""
        if self.state.final:
            return
        self.begun = True
        self._done.setdefault((unit.occurrence, unit.step), set()).update(unit.indexes)
        self._failures.pop(unit, None)
        if self._all_done():
            self._end(JobState.COMPLETED, wall)

    def trust_start(self, task: TaskId, wall: float) -> None:
        """Take in that an owner has started a task, so that the steps which it needs are done.

        Their ends may not have been stored before that owner was gone.
        """
        for number in self.submission.steps[task.step].after:
            needed = TaskId(task.job_id, task.occurrence, number, 0)
            self.trust_start(needed, wall)
            for index in range(self.submission.steps[number].count):
                self.finish(self.unit_of(attrs.evolve(needed, index=index)), wall)

    def is_open(self, unit: Unit) -> bool:
        """Whether a unit's turn has come, as far as is known."""
        return (unit.occurrence, unit.step) in self._opened

    def fail(self, unit: Unit, run: int, wall: float) -> None:
        """Take in that a run of a unit failed; too many failures fail the job.

        The same failure may be listed again to a new owner, so runs are counted, not reports.
        """
        if self.state.final or self.submission.steps[unit.step].lasting:
            return
        runs = self._failures.setdefault(unit, set())
        runs.add(run)
        if len(runs) >= self.submission.attempts:
            self._end(JobState.FAILED, wall)

    def cancel(self, wall: float) -> None:
        """Give the job up, unless it is over."""
        if not self.state.final:
            self._end(JobState.CANCELLED, wall)

    def _open_step(self, occurrence: int, number: int) -> list[Unit]:
        key = (occurrence, number)
        step = self.submission.steps[number]
        if key in self._opened or not all(self._step_done(occurrence, n) for n in step.after):
            return []
        self._opened.add(key)
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
