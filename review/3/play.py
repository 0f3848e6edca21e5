"""The store is down for 2.6 s, and two executors are cut off from the VMs for some seconds."""

import asyncio
import sys
import time
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "lib"))

from platform_standin import main  # noqa: E402

FIRST_S, SECOND_S = 2.0, 15.0
DOWN_S = 2.6
CUT_S = 5.5
JOB = "000000000000b002"


async def started(platform, count):
    for _ in range(400):
        if len(platform.runs) >= count:
            return platform.runs[count - 1]
        await asyncio.sleep(0.01)
    raise RuntimeError(f"only {len(platform.runs)} tasks have started")


async def play(platform, trouble):
    for number in range(12):
        await platform.add_executor(f"i-{number}", labels=("a", f"r{number // 6}"))
    await platform.start()
    await platform.start_vms()
    task = {"count": 1, "cpu": 1000, "mem_mb": 256, "gpu": 1, "est_runtime_ms": 2000}
    steps = [task | {"data_rack": "r0"}, task | {"data_rack": "r1", "after": [0]}]
    spec = f"run_s={FIRST_S} slow=1:{SECOND_S}"
    await platform.submit(platform.vms[0], "ordinary", JOB, steps, spec)
    first = await started(platform, 1)
    await asyncio.sleep(first.started + FIRST_S - 1.2 - time.monotonic())
    began = time.monotonic()
    if trouble:
        platform.store.set_down(True)
        platform.note("the store is down: it answers 503")
    second = await started(platform, 2)
    one, two = (platform.executors[run.executor] for run in (first, second))
    await asyncio.sleep(0.3)
    cut = time.monotonic()
    if trouble:
        one.set_cut(True)
        two.set_cut(True)
    await asyncio.sleep(began + DOWN_S - time.monotonic())
    if trouble:
        platform.store.set_down(False)
        platform.note("the store is back")
        # The next VM that directs has asked all executors, and waits for the two that are cut off.
        others = [ex for ex in platform.executors.values() if not ex.cut]
        before = max(run.fence for run in (first, second))
        while not any(ex.fence > before for ex in others):
            await asyncio.sleep(0.01)
        platform.note("another generation number is in use")
        await asyncio.sleep(1.0)
        one.set_cut(False)
        await asyncio.sleep(max(0.0, cut + CUT_S - time.monotonic()))
        two.set_cut(False)
    await asyncio.sleep(20.0)
    for vm in platform.vms:
        await platform.state(vm, JOB)
    return platform.twice()


main(play, HERE, trouble=sys.argv[1:] != ["0"])
