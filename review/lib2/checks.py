"""The part of the rule LOST that speaks of work that stands still, as the users' page states it."""

import asyncio

SAMPLE_S = 0.05
STILL_S = 3.0
CALM_BEFORE_S = 4.0
AFTER_LAST_RUN_S = 6.0


class StillWork:
    """Watches for tasks that nobody runs although there is capacity for them twice over.

    :param calm_since: returns the time since which nothing was disrupted, in seconds of the record.

    ``lasting`` holds, by task that lasts, the first time at which it had stood still for 3 s, with
    these and the 4 s before them calm, and from 6 s after its last run. ``jobs`` holds, by job, the
    times at which all its tasks had stood still for 3 s with under half of the capacity in use.
    """

    def __init__(self, fleet, calm_since):
        self._fleet = fleet
        self._calm_since = calm_since
        self._still_since = {}
        self._last_run = {}
        self.lasting = {}
        self.jobs = {}

    async def watch(self):
        while True:
            self._sample()
            await asyncio.sleep(SAMPLE_S)

    def _sample(self):
        now, world = self._fleet.record.now(), self._fleet.world
        live = {}
        done = set()
        for run in world.runs:
            if run.ended_at is None:
                live.setdefault(run.task, []).append(run)
                self._last_run[run.task] = now
            elif run.how == "done":
                done.add(run.task)
        half = world.share_in_use() < 0.5
        for job in world.jobs.values():
            if job.accepted_at is None or job.cancel_sent_at is not None:
                continue
            step = job.step(0)
            room = world.room_for(step) >= 2
            tasks = [f"{job.job_id}.0.0.{index}" for index in range(step["count"])]
            if step.get("long_running"):
                for task in tasks:
                    since = self._still(task, room and task not in live, now)
                    since = max(
                        since, self._last_run.get(task, job.accepted_at) + AFTER_LAST_RUN_S
                    )
                    calm = self._calm_since() <= now - STILL_S - CALM_BEFORE_S
                    if calm and now - since >= STILL_S:
                        self.lasting.setdefault(task, now)
                continue
            waits = any(task not in done for task in tasks)
            nothing = not any(task in live for task in tasks)
            since = self._still(job.job_id, waits and nothing and room and half, now)
            if now - since >= STILL_S:
                self.jobs.setdefault(job.job_id, []).append(now)

    def _still(self, name, still, now):
        """Return since when something has stood still; ``now`` if it does not."""
        if not still:
            self._still_since.pop(name, None)
            return now
        return self._still_since.setdefault(name, now)
