"""Logs stay bounded under load and never block on a reader."""

import json
import os

import gevent
import structlog

from lacewingmill import events
from lacewingmill.adapters.log_writer import LINES_KEPT, LineWriter
from lacewingmill.events import EventLog, LogEvent, configure_logging


class Lines:
    """A stream that keeps what is written to it."""

    def __init__(self):
        self.lines = []

    def write(self, text):
        self.lines += [json.loads(line) for line in text.splitlines() if line]

    def flush(self):
        pass


def emit_many(monkeypatch, event, count):
    stream = Lines()
    configure_logging(stream)
    try:
        now = [100.0]
        monkeypatch.setattr(events.time, "monotonic", lambda: now[0])
        log = EventLog("vm0")
        for _ in range(count):
            log.emit(event)
        now[0] += 1.0
        log.emit(LogEvent.VM_STARTED)
        return [line["event"] for line in stream.lines], stream.lines
    finally:
        structlog.reset_defaults()


def test_lines_of_one_event_are_bounded_and_the_rest_is_counted(monkeypatch):
    names, lines = emit_many(monkeypatch, LogEvent.RUN_ENDED, 1000)
    assert names.count("run_ended") == events.MAX_LINES_PER_S
    assert lines[-2]["dropped"] == {"run_ended": 1000 - events.MAX_LINES_PER_S}


def test_lines_of_failures_are_dropped_last(monkeypatch):
    names, _ = emit_many(monkeypatch, LogEvent.UNIT_REJECTED, 500)
    assert names.count("unit_rejected") == 500
    assert "lines_dropped" not in names


def test_a_reader_that_does_not_read_never_blocks_the_writer():
    reader, writer = os.pipe()
    lines = LineWriter(writer)
    for number in range(LINES_KEPT * 3):
        lines.write(f"{number} {'x' * 100}\n")
        if number % 100 == 0:
            gevent.sleep(0)
    assert lines.dropped > 0
    os.close(reader)
    gevent.sleep(0)


def test_lines_arrive_whole_and_in_order_once_they_are_read():
    reader, writer = os.pipe()
    lines = LineWriter(writer)
    for number in range(50):
        lines.write(f"line {number}\n")
    lines.close(1.0)
    assert os.read(reader, 65536).decode().split("\n")[:-1] == [f"line {n}" for n in range(50)]
