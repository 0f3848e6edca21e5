"""Power loss of all VMs while jobs are accepted, started, ended and cancelled."""

import gevent
import pytest

from standins.platform.fleet import PlatformFleet, job_id, step, wait_for_owner
from tests.test_platform_path import run

BATCH = [step(count=5), step(count=2, after=[0])]
GANG = [step(count=2, gpu=8, gang=True)]
CRASH_STEP_S = 0.12
CRASHES = 24


def submit_jobs(fleet):
    """Submit four jobs one after the other and cancel the last one, in a greenlet.

    :return: the greenlet, and the responses received so far: queue and status by job id, and the
        status of the cancellation under ``cancelled``.
    """
    responses = {}
    jobs = (
        ("ordinary", BATCH, "run_s=0.8"),
        ("urgent", GANG, "run_s=1"),
        ("patient", GANG, "run_s=1 fail=1"),
        ("patient", [step(count=3)], "run_s=9"),
    )

    def submit_all():
        for number, (queue, steps, spec) in enumerate(jobs):
            responses[job_id(number)] = (queue, None)
            status = fleet.submit("vm0", queue, job_id(number), steps, spec)
            responses[job_id(number)] = (queue, status)
        fleet.clock.sleep(0.5)
        responses["cancelled"] = fleet.call("vm0", "DELETE", f"/patient/{job_id(3)}")[0]

    return gevent.spawn(submit_all), responses


@pytest.mark.parametrize("crash", range(CRASHES))
def test_acknowledged_requests_survive_the_loss_of_all_vms(crash):
    fleet = PlatformFleet()
    client, responses = submit_jobs(fleet)
    fleet.clock.advance(0.004 * crash if crash < 6 else CRASH_STEP_S * (crash - 5))
    for vm in list(fleet.vms):
        fleet.kill(vm)
    client.kill(block=False)
    fleet.clock.advance(0.7)
    fleet.start_vm("vm7")
    wait_for_owner(fleet)
    fleet.clock.advance(25.0)
    for number in range(4):
        queue, status = responses.get(job_id(number), ("patient", None))
        state = run(fleet, fleet.state, "vm7", queue, job_id(number))
        if number == 3 and responses.get("cancelled") == 200:
            assert state == "cancelled"
        elif status == 200:
            assert state in ("completed", "cancelled") if number == 3 else state == "completed"
        else:
            assert state in ("completed", "cancelled", 410)
    fleet.check_invariants()
