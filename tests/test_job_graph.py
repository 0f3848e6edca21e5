"""Graphs of steps: what becomes ready when, and the cost of the largest jobs that are accepted."""

import signal
import time

import attrs
import pytest

from lacewingmill.jobs.graph import JobGraph
from lacewingmill.jobs.model import JobState, JobTiming, Step, Submission, TaskId
from standins.platform.fleet import job_id, step, wait_for_owner
from tests.test_platform_path import run

# Other requests wait while one thread handles a job. Users expect health checks to be answered
# within half a second.
MAX_HANDLING_S = 0.5
MAX_STEPS = 1000
MAX_TASKS = 100_000


@pytest.fixture(autouse=True)
def end_in_time():
    """Fail a test whose cost explodes, instead of running for hours."""

    def fail(signum, frame):
        raise TimeoutError("the test has run for 20 s")

    previous = signal.signal(signal.SIGALRM, fail)
    signal.setitimer(signal.ITIMER_REAL, 20.0)
    yield
    signal.setitimer(signal.ITIMER_REAL, 0.0)
    signal.signal(signal.SIGALRM, previous)


def make_graph(*steps, times=0):
    submission = Submission(
        job_id(1), "q", "s", "t", 1, 2, 3.0, 1.0, "", steps, JobTiming(times, 0.0, 1.0)
    )
    return JobGraph(submission, 1)


def names(units):
    return [(unit.occurrence, unit.step, unit.indexes[0]) for unit in units]


def finish(graph, occurrence, number):
    for index in range(graph.submission.steps[number].count):
        graph.mark_done(graph.unit_of(TaskId(job_id(1), occurrence, number, index)), 0.0)


def all_earlier(count):
    """Return steps that each depend on all earlier ones."""
    return tuple(Step(1, after=tuple(range(number))) for number in range(count))


def chain(count):
    return tuple(Step(1, after=(number - 1,) if number else ()) for number in range(count))


def test_a_step_becomes_ready_once_all_of_its_dependencies_are_done():
    graph = make_graph(Step(1), Step(2), Step(2, after=(0, 1)), Step(1, after=(2, 2)))
    assert names(graph.take_ready_units(0.0)) == [(0, 0, 0), (0, 1, 0), (0, 1, 1)]
    finish(graph, 0, 0)
    assert graph.take_ready_units(0.0) == []
    finish(graph, 0, 1)
    assert names(graph.take_ready_units(0.0)) == [(0, 2, 0), (0, 2, 1)]
    assert graph.take_ready_units(0.0) == []
    finish(graph, 0, 2)
    assert names(graph.take_ready_units(0.0)) == [(0, 3, 0)]
    finish(graph, 0, 3)
    assert graph.state is JobState.COMPLETED


def test_occurrences_become_ready_at_their_start_times_and_run_apart():
    graph = make_graph(Step(1), Step(1, after=(0,)), times=3)
    assert names(graph.take_ready_units(1.5)) == [(0, 0, 0), (1, 0, 0)]
    finish(graph, 1, 0)
    assert names(graph.take_ready_units(1.5)) == [(1, 1, 0)]
    assert names(graph.take_ready_units(9.0)) == [(2, 0, 0)]
    for occurrence in range(3):
        finish(graph, occurrence, 0)
        assert graph.state is JobState.QUEUED
        finish(graph, occurrence, 1)
    assert graph.state is JobState.COMPLETED


def test_restored_progress_continues_where_it_was_stored():
    steps = (Step(9), Step(2, after=(0,)), Step(3, gang=True, after=(0,)))
    graph = make_graph(*steps)
    graph.take_ready_units(0.0)
    finish(graph, 0, 0)
    graph.mark_done(graph.unit_of(TaskId(job_id(1), 0, 1, 1)), 0.0)
    restored = make_graph(*steps)
    restored.restore(graph.progress())
    assert attrs.asdict(restored.progress()) == attrs.asdict(graph.progress())
    assert names(restored.take_ready_units(0.0)) == [(0, 1, 0), (0, 2, 0)]


def test_a_started_task_completes_all_steps_that_it_depends_on_and_no_others():
    graph = make_graph(Step(2), Step(1, after=(0,)), Step(1), Step(1, after=(1,)))
    graph.complete_dependencies(TaskId(job_id(1), 0, 3, 0), 0.0)
    assert names(graph.take_ready_units(0.0)) == [(0, 2, 0), (0, 3, 0)]


# Guards against an owner that hangs, and each one after it, because the cost of a job grows with
# the number of ways through its graph, and against steps whose recursion is too deep.
@pytest.mark.parametrize("steps", [all_earlier(MAX_STEPS), chain(MAX_STEPS)])
def test_recovery_of_the_largest_graph_is_handled_in_time(steps):
    began = time.process_time()
    graph = make_graph(*steps)
    graph.complete_dependencies(TaskId(job_id(1), 0, MAX_STEPS - 1, 0), 0.0)
    assert names(graph.take_ready_units(0.0)) == [(0, MAX_STEPS - 1, 0)]
    assert time.process_time() - began < MAX_HANDLING_S


@pytest.mark.parametrize("steps", [all_earlier(MAX_STEPS), chain(MAX_STEPS)])
def test_the_ends_of_the_largest_graph_cost_little_each(steps):
    graph = make_graph(*steps)
    began = time.process_time()
    for number in range(MAX_STEPS):
        assert names(graph.take_ready_units(0.0)) == [(0, number, 0)]
        finish(graph, 0, number)
    assert time.process_time() - began < MAX_HANDLING_S * 4
    assert graph.state is JobState.COMPLETED


def test_the_progress_of_the_widest_step_is_stored_and_restored_in_time():
    graph = make_graph(Step(MAX_TASKS), Step(1, after=(0,)))
    graph.complete_dependencies(TaskId(job_id(1), 0, 1, 0), 0.0)
    began = time.process_time()
    progress = graph.progress()
    restored = make_graph(*graph.submission.steps)
    restored.restore(progress)
    assert names(restored.take_ready_units(0.0)) == [(0, 1, 0)]
    assert time.process_time() - began < MAX_HANDLING_S


# Guards against owners that hang one after the other once a late step of a deep job runs.
def test_a_new_owner_adopts_a_late_step_of_a_job_of_many_steps(fleet):
    wait_for_owner(fleet)
    steps = [step(after=list(range(number)), est_runtime_ms=50) for number in range(27)]
    run(fleet, fleet.submit, "vm0", "ordinary", job_id(1), steps, "run_s=0.1", seconds=0.1)
    while len(fleet.run_history.runs) < 27:
        fleet.clock.advance(0.02)
    fleet.run_history.runs[-1].run_s = 9.0
    fleet.kill(fleet.owner)
    wait_for_owner(fleet)
    fleet.clock.advance(12.0)
    assert run(fleet, fleet.state, fleet.owner, "ordinary", job_id(1)) == "completed"
    assert len(fleet.run_history.runs) == 27
    fleet.check_invariants()
