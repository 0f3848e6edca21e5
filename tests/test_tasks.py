"""Unexpected errors in greenlets: they end no process, stop no loop, and are logged."""

import json
from io import StringIO

import gevent
import pytest
import structlog

from lacewingmill.events import EventLog, configure_logging
from lacewingmill.tasks import log_failed_tasks


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
