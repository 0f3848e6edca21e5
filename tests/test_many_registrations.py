"""Registrations that change faster than the store returns them in one answer."""

import gevent

from lacewingmill.jobs.keys import cancel_key
from standins.platform.fleet import job_id, step
from tests.test_platform_path import run

# A thousand workers rewrite their registrations every 1.5 s; the store returns 500 changes at once.
CHANGES_PER_S = 667
# Within this time after a worker reports that it drains, nothing may start there any more.
DRAIN_S = 3.0


def rewrite_registrations(fleet):
    for second in range(30):
        for number in range(CHANGES_PER_S):
            fleet.kv.write(f"servers/other-{number}", {"seq": second})
        fleet.clock.sleep(1.0)


def test_a_draining_worker_is_noticed_among_a_thousand_registrations(fleet):
    writer = gevent.spawn(rewrite_registrations, fleet)
    fleet.clock.advance(20.0)
    worker = fleet.executors[0]
    fleet.operator.register(worker, state="draining")
    fleet.clock.advance(DRAIN_S)
    link = fleet.vms[fleet.owner].director.pool.find(worker.name)
    assert link.entry.leaving
    writer.kill(block=False)


def test_a_cancellation_behind_a_thousand_others_takes_effect_with_the_next_poll(fleet):
    assert run(fleet, fleet.submit, "vm0", "patient", job_id(1), [step()], "run_s=30") == 200
    fleet.clock.advance(1.0)
    for number in range(2, 1300):
        fleet.kv.write(cancel_key(job_id(number)), b"1")
    fleet.kv.write(cancel_key(job_id(1)), b"1")
    fleet.clock.advance(1.5)
    assert run(fleet, fleet.state, "vm0", "patient", job_id(1)) == "cancelled"


def test_a_stored_cancellation_takes_effect_while_the_store_answers_no_watch(fleet):
    assert run(fleet, fleet.submit, "vm0", "patient", job_id(1), [step()], "run_s=30") == 200
    fleet.kv.faults.deaf = True
    fleet.kv.write(cancel_key(job_id(1)), b"1")
    fleet.clock.advance(3.0)
    assert run(fleet, fleet.state, "vm0", "patient", job_id(1)) == "cancelled"
