"""Unexpected errors in greenlets: they end no process, stop no loop, and are logged."""

import json
from io import StringIO

import gevent
import pytest
import structlog
from fakes import VirtualClock

from lacewingmill.events import EventLog, configure_logging
from lacewingmill.tasks import LOOP_RESTART_DELAY_S, keep_running, log_failed_tasks
from tests.platform_fleet import PlatformFleet, job_id, step, wait_for_owner


@pytest.fixture
def lines():
    """The log lines so far."""
    stream = StringIO()
    configure_logging(stream)
    yield lambda: [json.loads(line) for line in stream.getvalue().splitlines()]
    structlog.reset_defaults()


# Guards against a process that ends because one of its greenlets raised a SystemError.
@pytest.mark.parametrize("kind", [ValueError, SystemError])
def test_an_error_of_one_task_is_logged_and_ends_no_other(lines, kind):
    def fail():
        raise kind("unexpected")

    log_failed_tasks(EventLog("vm0"))
    try:
        gevent.spawn(fail)
        gevent.sleep(0)
        gevent.sleep(0)
    finally:
        del gevent.get_hub().handle_error
    failed = lines()[-1]
    assert failed["event"] == "task_failed" and failed["where"].endswith(" in fail")
    assert failed["error"] == f"{kind.__name__}('unexpected')"


def test_a_request_to_end_the_process_is_no_failed_task(lines):
    def leave():
        raise SystemExit(3)

    log_failed_tasks(EventLog("vm0"))
    try:
        gevent.spawn(leave)
        with pytest.raises(SystemExit):
            gevent.sleep(0.01)
    finally:
        del gevent.get_hub().handle_error
    assert lines() == []


@pytest.mark.parametrize("error", [ValueError("unexpected"), gevent.Timeout(1)])
def test_a_loop_that_fails_begins_anew_after_a_pause(lines, error):
    clock, begun = VirtualClock(), []

    def loop():
        begun.append(clock.now())
        if len(begun) < 3:
            raise error

    running = gevent.spawn(keep_running, loop, clock, EventLog("vm0"))
    clock.advance(LOOP_RESTART_DELAY_S * 3)
    assert running.ready()
    assert [at - begun[0] for at in begun] == [0.0, LOOP_RESTART_DELAY_S, 2 * LOOP_RESTART_DELAY_S]
    assert [line["event"] for line in lines()] == ["loop_failed"] * 2


def fail_once(part, name):
    """Let a method fail the next time that it is called."""
    method = getattr(part, name)

    def fail(*args, **kwargs):
        setattr(part, name, method)
        raise ValueError("on purpose")

    setattr(part, name, fail)


# Guards against a VM that lives on with one of its loops dead.
@pytest.mark.parametrize(
    ("loop", "name"),
    [
        (lambda vm: vm._follower, "_follow"),
        (lambda vm: vm._owner_watch, "_watches"),
        (lambda vm: vm._directory, "_refresh"),
        (lambda vm: vm, "why_not_ready"),
    ],
)
def test_each_loop_of_a_vm_goes_on_after_an_unexpected_error(loop, name, lines):
    fleet = PlatformFleet(vms=1)
    wait_for_owner(fleet)
    calls = []
    part = loop(fleet.vms["vm0"])
    method = getattr(part, name)
    fail_once(part, name)
    fleet.clock.advance(12.0)
    assert [line["event"] for line in lines()].count("loop_failed") == 1
    setattr(part, name, lambda *args: calls.append(name) or method(*args))
    fleet.clock.advance(12.0)
    assert calls


def test_a_vm_whose_election_failed_unexpectedly_still_takes_over(lines):
    fleet = PlatformFleet(vms=2)
    wait_for_owner(fleet)
    other = "vm1" if fleet.owner == "vm0" else "vm0"
    fail_once(fleet.vms[other]._elector, "_elect")
    fleet.kill(fleet.owner)
    fleet.clock.advance(6.0)
    assert "loop_failed" in [line["event"] for line in lines()]
    assert fleet.owner == other


# Guards against an owner that keeps its lease and directs nothing, because a part of it has died.
@pytest.mark.parametrize(
    ("part", "name"),
    [
        (lambda director: director._planner, "plan"),
        (lambda director: director.pool, "sweep"),
        (lambda director: director.store_writer, "_write"),
        (lambda director: director._runner, "_start_member"),
        (lambda director: director.pool.find("i-0"), "_look_once"),
    ],
)
def test_an_owner_that_fails_unexpectedly_gives_the_jobs_up_and_they_are_done(part, name, lines):
    fleet = PlatformFleet(vms=2, executors=2)
    wait_for_owner(fleet)
    owner = fleet.vms[fleet.owner]
    director = owner.director
    fail_once(part(director), name)
    jobs = [job_id(number) for number in range(6)]
    handed_in = [
        gevent.spawn(fleet.submit, "vm1", "patient", job, [step(count=2, gpu=4)]) for job in jobs
    ]
    fleet.clock.advance(15.0)
    assert [answer.get(block=False) for answer in handed_in] == [200] * len(jobs)
    assert owner.director is not director
    assert [line["reason"] for line in lines() if line["event"] == "jobs_lost"] == ["failed"]
    states = [gevent.spawn(fleet.state, "vm1", "patient", job) for job in jobs]
    fleet.clock.advance(1.0)
    assert [state.get(block=False) for state in states] == ["completed"] * len(jobs)
    fleet.check_invariants()
