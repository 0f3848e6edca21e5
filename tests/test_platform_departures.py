"""Ends on workers that leave while the owner stops as planned, on virtual time."""

import gevent

from standins.platform.fleet import PlatformFleet, job_id, step
from tests.test_platform_path import run

LATENCY_S = 0.02
EXIT_AFTER_END_S = 0.1
RUN_S = 2.0


def leave_at_end(fleet, task, stop_after_s):
    """Let the worker of a task drain and exit after its end; stop the owner once it lists it.

    :param stop_after_s: time from the worker's answer to the stop of the owner, in seconds.
    """
    name = next(r.executor for r in fleet.run_history.runs if r.task == task)
    worker = next(each for each in fleet.executors if each.name == name)
    fleet.operator.register(worker, state="draining")
    owner = fleet.vms[fleet.owner]

    def stop_owner():
        fleet.clock.sleep(stop_after_s)
        owner.begin_stop()

    def exit_worker():
        fleet.clock.sleep(EXIT_AFTER_END_S)
        worker.exit()
        fleet.operator.unregister(worker)

    def note_call(path, _status, body):
        if path == "/hold" and any(row[1] == task for row in body.get("ended", [])):
            fleet.network.on_executor_call = None
            gevent.spawn(stop_owner)
            gevent.spawn(exit_worker)

    fleet.network.on_executor_call = note_call


def runs_of(fleet, task):
    return [(r.number, r.outcome) for r in fleet.run_history.runs if r.task == task]


# TWICE: an owner that hands over drops the answer, under way to it, that lists an end, and the
# worker exits before the next owner asks it.
def test_an_end_whose_answer_is_under_way_at_a_planned_stop_is_not_lost():
    fleet = PlatformFleet(vms=3, executors=3)
    fleet.network.latency_s = LATENCY_S
    task = f"{job_id(1)}.0.0.0"
    steps = [step(gpu=8)]
    spec = f"run_s={RUN_S}"
    assert run(fleet, fleet.submit, "vm0", "ordinary", job_id(1), steps, spec, seconds=1.0) == 200
    leave_at_end(fleet, task, stop_after_s=LATENCY_S / 2)
    fleet.clock.advance(20.0)
    assert fleet.run_history.runs[0].listed_at is not None
    assert runs_of(fleet, task) == [(1, "done")]


# TWICE: an owner that hands over discards progress that waits behind another write, and the worker
# that has listed the end exits before the next owner asks it.
def test_an_end_whose_progress_waits_to_be_written_at_a_planned_stop_is_not_lost():
    fleet = PlatformFleet(vms=3, executors=3)
    fleet.network.latency_s = LATENCY_S
    first, second = (f"{job_id(number)}.0.0.0" for number in (1, 2))
    # The second task ends while the progress of the first one's job is being written.
    for number, run_s in ((1, RUN_S), (2, RUN_S + LATENCY_S / 2)):
        gevent.spawn(
            fleet.submit, "vm0", "ordinary", job_id(number), [step(gpu=8)], f"run_s={run_s}"
        )
    fleet.clock.advance(1.0)
    leave_at_end(fleet, second, stop_after_s=1.25 * LATENCY_S)
    fleet.clock.advance(20.0)
    ended_at = {r.task: r.ended_at for r in reversed(fleet.run_history.runs)}
    assert 0 < ended_at[second] - ended_at[first] < LATENCY_S
    assert runs_of(fleet, second) == [(1, "done")]
