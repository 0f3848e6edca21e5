"""Blocks reserved for guaranteed slots."""

from scheduler_machine import SHAPES, make_worker_info

from lacewingmill.scheduling.messages import (
    GuaranteedSlots,
    GuaranteesChanged,
    Job,
    JobFinished,
    JobSubmitted,
    SlotKey,
    WorkerJoined,
)
from lacewingmill.scheduling.scheduler import Scheduler

WHOLE = SHAPES[2]


def test_shortfall_ends_when_the_protected_work_in_its_place_ends():
    scheduler = Scheduler()
    scheduler.handle(WorkerJoined(make_worker_info(0)), 0.0)
    scheduler.handle(JobSubmitted(Job("a", "s", "t", WHOLE, False, False, False, 0.0)), 0.0)
    slots = (GuaranteedSlots(SlotKey("s", "u", "whole"), WHOLE, 1),)
    scheduler.handle(GuaranteesChanged(slots, (), SHAPES), 1.0)
    assert len(scheduler.slot_table.shortfalls()) == 1
    scheduler.handle(JobFinished("a", 5.0), 5.0)
    assert scheduler.slot_table.shortfalls() == []
    scheduler.handle(JobSubmitted(Job("b", "s", "t", WHOLE, False, False, False, 6.0)), 6.0)
    assert scheduler.records["b"].placement == ()
