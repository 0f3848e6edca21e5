"""Jobs from submission to completion, through the HTTP adapters, on virtual time."""

import gevent

from standins.platform import configuration
from standins.platform.fleet import job_id, step


def run(fleet, call, *args, seconds=3.0):
    """Run a client's request while virtual time passes, and return its result."""
    greenlet = gevent.spawn(call, *args)
    fleet.clock.advance(seconds)
    return greenlet.get(block=False)


def test_a_job_of_two_steps_completes_in_order(fleet):
    steps = [step(count=3), step(count=2, after=[0])]
    assert run(fleet, fleet.submit, "vm0", "ordinary", job_id(1), steps) == 200
    fleet.clock.advance(4.0)
    for vm in fleet.vms:
        assert run(fleet, fleet.state, vm, "ordinary", job_id(1)) == "completed"
    first = [r for r in fleet.run_history.runs if ".0.0." in r.task]
    second = [r for r in fleet.run_history.runs if ".0.1." in r.task]
    assert len(first) == 3 and len(second) == 2
    assert max(r.ended_at for r in first) <= min(r.started_at for r in second)
    fleet.check_invariants()


def test_a_gang_starts_whole(fleet):
    steps = [step(count=3, gpu=8, gang=True)]
    assert run(fleet, fleet.submit, "vm1", "ordinary", job_id(1), steps, seconds=1.0) == 200
    assert len({r.executor for r in fleet.run_history.runs}) == 3
    fleet.clock.advance(2.0)
    assert run(fleet, fleet.state, "vm0", "ordinary", job_id(1)) == "completed"


def test_a_repeated_submission_is_one_job(fleet):
    for vm in ("vm0", "vm1", "vm0"):
        assert run(fleet, fleet.submit, vm, "ordinary", job_id(1), [step()]) == 200
    fleet.clock.advance(5.0)
    assert len(fleet.run_history.runs) == 1


def test_a_cancelled_job_is_stopped_and_never_starts_again(fleet):
    run(fleet, fleet.submit, "vm0", "ordinary", job_id(1), [step(count=2)], "run_s=30")
    assert run(fleet, fleet.call, "vm1", "DELETE", f"/ordinary/{job_id(1)}")[0] == 200
    assert run(fleet, fleet.state, "vm0", "ordinary", job_id(1)) == "cancelled"
    assert [r.outcome for r in fleet.run_history.runs] == ["stopped", "stopped"]
    assert run(fleet, fleet.submit, "vm0", "ordinary", job_id(1), [step(count=2)]) == 200
    fleet.clock.advance(5.0)
    assert len(fleet.run_history.runs) == 2


def test_a_job_fails_after_its_attempts(fleet):
    run(fleet, fleet.submit, "vm0", "patient", job_id(1), [step()], "run_s=1 fail=9")
    fleet.clock.advance(6.0)
    assert run(fleet, fleet.state, "vm0", "patient", job_id(1)) == "failed"
    assert [r.outcome for r in fleet.run_history.runs] == ["failed", "failed"]


def test_an_urgent_job_evicts_others_within_its_quota(fleet):
    fleet.operator.configure(configuration(2, quota=16))
    run(fleet, fleet.submit, "vm0", "patient", job_id(1), [step(count=32)], "run_s=30")
    gang = [step(count=2, gpu=8, gang=True)]
    assert run(fleet, fleet.submit, "vm0", "urgent", job_id(2), gang) == 200
    started = [r for r in fleet.run_history.runs if r.task.startswith(job_id(2))]
    assert len(started) == 2
    stopped = [r for r in fleet.run_history.runs if r.outcome == "stopped"]
    assert len(stopped) == 16 and len({r.executor for r in stopped}) == 2


def test_invalid_requests_get_a_matching_status(fleet):
    assert run(fleet, fleet.call, "vm0", "GET", f"/ordinary/{job_id(1)}")[0] == 410
    assert run(fleet, fleet.call, "vm0", "GET", f"/nowhere/{job_id(1)}")[0] == 404
    path = f"/ordinary/{job_id(1)}"
    assert run(fleet, fleet.call, "vm0", "GET", path, None, "key-x")[0] == 401
    for body in (b"{", b"[]", b'{"spec":"x"}', b'{"spec":"x","steps":[{"count":0}]}'):
        assert run(fleet, fleet.call, "vm0", "POST", path, body)[0] == 400
    assert run(fleet, fleet.call, "vm0", "GET", "/ordinary/")[1] == {"waiting": 0}


def test_foreign_worker_entries_do_not_affect_other_workers(fleet):
    fleet.kv.write("servers/i-odd", b"\xff\x00")
    fleet.kv.write("servers/i-poor", {"service": "plumes", "state": "ready"})
    fleet.kv.write("servers/i-next", {**fleet.executors[0].registration("sleeping")})
    fleet.clock.advance(2.0)
    assert run(fleet, fleet.submit, "vm0", "ordinary", job_id(1), [step(count=4)]) == 200
    fleet.clock.advance(3.0)
    assert run(fleet, fleet.state, "vm0", "ordinary", job_id(1)) == "completed"


def test_a_task_placed_during_a_configuration_change_is_started(fleet):
    """Starts that the scheduler decides on while it applies new quotas are carried out too."""
    steps = [step(data_rack="r9")]  # placed in another rack after it has waited for 2 s
    run(fleet, fleet.submit, "vm0", "ordinary", job_id(1), steps, seconds=1.0)
    for version in range(2, 22):
        fleet.operator.configure(configuration(version))
        fleet.clock.advance(0.1)
    fleet.clock.advance(3.0)
    assert run(fleet, fleet.state, "vm0", "ordinary", job_id(1)) == "completed"


def test_an_advised_job_runs_with_tickets_on_the_workers_that_may_run_it(fleet):
    fleet.run_history.ticketed_executors[job_id(1)] = {"i-1", "i-2"}
    run(fleet, fleet.submit, "vm0", "advised", job_id(1), [step(count=4, gpu=4)], "run_s=2")
    fleet.clock.advance(6.0)
    assert run(fleet, fleet.state, "vm0", "advised", job_id(1)) == "completed"
    assert {r.executor for r in fleet.run_history.runs} == {"i-1", "i-2"}


def test_an_advised_job_without_workers_does_not_block_other_jobs(fleet):
    fleet.run_history.ticketed_executors[job_id(1)] = set()
    run(fleet, fleet.submit, "vm0", "advised", job_id(1), [step()])
    assert run(fleet, fleet.submit, "vm0", "ordinary", job_id(2), [step(count=4, gpu=8)]) == 200
    fleet.clock.advance(3.0)
    assert run(fleet, fleet.state, "vm0", "ordinary", job_id(2)) == "completed"
    assert run(fleet, fleet.state, "vm0", "advised", job_id(1)) == "queued"


def test_an_expired_ticket_is_requested_again(fleet):
    """The unit waits longer than its tickets are valid."""
    fleet.run_history.ticketed_executors[job_id(1)] = {"i-1"}
    run(fleet, fleet.submit, "vm0", "ordinary", job_id(2), [step(count=4, gpu=8)], "run_s=8")
    run(fleet, fleet.submit, "vm0", "advised", job_id(1), [step()], "run_s=1")
    fleet.clock.advance(12.0)
    assert run(fleet, fleet.state, "vm0", "advised", job_id(1)) == "completed"
