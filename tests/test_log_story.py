"""Finding the cause of a failed or late job in captured logs, by its id."""

import io
import json

import pytest
import structlog

from lacewingmill.cli import ExitCode, main
from lacewingmill.events import configure_logging
from lacewingmill.log_search import search_logs
from standins.platform.fleet import PlatformFleet, job_id, step, wait_for_owner
from tests.test_platform_path import run


@pytest.fixture
def captured():
    stream = io.StringIO()
    configure_logging(stream)
    yield stream
    structlog.reset_defaults()


def search(captured, wanted_id):
    return "\n".join(search_logs(captured.getvalue().splitlines(), wanted_id))


def test_log_of_a_job_refused_in_an_outage_names_the_store(captured):
    fleet = PlatformFleet()
    fleet.kv.faults.down = True
    assert run(fleet, fleet.submit, "vm0", "ordinary", job_id(1), [step()]) == 503
    text = search(captured, job_id(1))
    assert "job_not_accepted" in text and "neither the store nor another VM answers" in text
    assert "store_unavailable" in captured.getvalue()


def test_log_of_a_failed_job_lists_each_attempt(captured):
    fleet = PlatformFleet()
    run(fleet, fleet.submit, "vm0", "patient", job_id(1), [step()], "run_s=1 fail=9")
    fleet.clock.advance(6.0)
    assert run(fleet, fleet.state, "vm0", "patient", job_id(1)) == "failed"
    text = search(captured, job_id(1))
    assert text.count("end=failed") == 2 and "job_failed" in text and "attempts=2" in text


def test_log_of_a_job_delayed_by_a_takeover_names_both_owners(captured):
    fleet = PlatformFleet()
    run(fleet, fleet.submit, "vm0", "ordinary", job_id(1), [step()], "run_s=6")
    first = fleet.owner
    fleet.kill(first)
    wait_for_owner(fleet)
    fleet.clock.advance(8.0)
    text = search(captured, job_id(1))
    vms = {line.split()[1] for line in text.splitlines() if "unit_" in line or "run_ended" in line}
    assert vms == {first, fleet.owner}
    takeovers = [
        json.loads(line) for line in captured.getvalue().splitlines() if "jobs_taken" in line
    ]
    assert [line["vm"] for line in takeovers] == [first, fleet.owner]


def test_story_command_reads_standard_input(monkeypatch, capsys):
    lines = ['  1.5 vm0 {"event": "job_ended", "job": "abc", "vm": "vm0"}\n', "noise\n", "{}\n"]
    monkeypatch.setattr("sys.stdin", io.StringIO("".join(lines)))
    assert main(["story", "abc"]) == ExitCode.OK
    assert "job_ended job=abc" in capsys.readouterr().out
    monkeypatch.setattr("sys.stdin", io.StringIO(""))
    assert main(["story", "abc"]) == ExitCode.FAILED
