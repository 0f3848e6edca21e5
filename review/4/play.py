"""A draining executor loses its path to the store for 5 s; later its open channels are reset."""

import asyncio
import sys
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "lib"))

from platform_standin import main  # noqa: E402

CUT_S = 5.0
# After three heartbeats of silence (4.5 s), and before the next report, 6 s after the last one.
RESET_AFTER_S = 5.75
JOB = "000000000000b001"


async def play(platform, trouble):
    for number in range(6):
        await platform.add_executor(f"i-{number}", labels=("a", f"r{number // 2}"))
    await platform.start()
    await platform.start_vms()
    step = {"count": 1, "cpu": 1000, "mem_mb": 256, "gpu": 1, "est_runtime_ms": 11000}
    await platform.submit(platform.vms[0], "ordinary", JOB, [step], "run_s=11")
    for _ in range(100):
        if platform.runs:
            break
        await asyncio.sleep(0.05)
    else:
        raise RuntimeError("the job never started")
    executor = platform.executors[platform.runs[0].executor]
    # It serves on for the time of the drain, and for many seconds more.
    executor.drain(linger_s=13.0)
    await asyncio.sleep(0.1)
    if trouble:
        executor.reaches_store = False
        platform.note(f"{executor.name}: cut off from the store, not from the VMs")
    await asyncio.sleep(CUT_S)
    executor.reaches_store = True
    if trouble:
        platform.note(f"{executor.name}: reaches the store again")
    await asyncio.sleep(RESET_AFTER_S - CUT_S - 0.1)
    if trouble:
        platform.note(f"{executor.name}: its open channels are reset")
        executor.server.reset_all()
    await asyncio.sleep(14.0)
    for vm in platform.vms:
        await platform.state(vm, JOB)
    return platform.twice()


main(play, HERE, trouble=sys.argv[1:] != ["0"])
