"""The log lines by which a task that ran again is traced to its cause."""

import io
import json

import gevent
import pytest
import structlog

from lacewingmill.events import configure_logging
from lacewingmill.jobs.director import HAND_OVER_S
from standins.platform.fleet import PlatformFleet, job_id, step, wait_for_owner
from tests.test_platform_path import run


@pytest.fixture
def logged():
    """Return a function that returns the fields of the log lines of an event."""
    stream = io.StringIO()
    configure_logging(stream)

    def read(event):
        lines = [json.loads(line) for line in stream.getvalue().splitlines()]
        return [line for line in lines if line["event"] == event]

    yield read
    structlog.reset_defaults()


def test_a_run_that_is_done_beside_a_later_one_is_logged_with_the_cause(logged):
    fleet = PlatformFleet(vms=1, executors=2)
    wait_for_owner(fleet)
    run(fleet, fleet.submit, "vm0", "ordinary", job_id(1), [step()], "run_s=3", seconds=1.0)
    name = fleet.run_history.runs[0].executor
    address = next(each.entry["addr"] for each in fleet.executors if each.name == name)
    fleet.network.cut.add(("vm0", address))
    fleet.clock.advance(9.0)
    fleet.network.cut.clear()
    fleet.clock.advance(2.0)
    lines = logged("run_repeated")
    assert [(each["run"], each["later_run"], each["cause"]) for each in lines] == [
        (1, 2, "leases_over")
    ]


def test_progress_that_an_owner_leaves_unstored_is_logged(logged):
    fleet = PlatformFleet(vms=2, executors=2)
    wait_for_owner(fleet)
    run(fleet, fleet.submit, "vm0", "ordinary", job_id(1), [step()], "run_s=2", seconds=1.0)
    fleet.kv.faults.down = True
    fleet.clock.advance(1.1)
    gevent.spawn(fleet.vms[fleet.owner]._stop)
    fleet.clock.advance(HAND_OVER_S - 0.01)
    assert logged("progress_unstored") == []
    fleet.clock.advance(0.02)
    lines = logged("progress_unstored")
    assert [(each["count"], each["keys"]) for each in lines] == [
        (1, [f"lacewingmill/run/{job_id(1)}"])
    ]
