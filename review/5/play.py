"""The executors that may run a waiting step are replaced by new ones."""

import asyncio
import sys
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "lib"))

from platform_standin import main  # noqa: E402

JOB = "000000000000d001"
GAP_S = 1.0
FINISH_S = 14.0


async def play(platform, trouble):
    for number in range(6):
        zone = number // 2
        await platform.add_executor(f"i-{number}", labels=("a", f"r{zone}"), zone=f"z{zone}")
    # The policy of the queue allows the executors of one zone, old and new.
    platform.good = lambda executor: executor.zone == "z0"
    await platform.start()
    await platform.start_vms()
    step = {"count": 2, "cpu": 1000, "mem_mb": 256, "gpu": 1, "est_runtime_ms": 8000}
    await platform.submit(platform.vms[0], "advised", JOB, [step], "run_s=8")
    for _ in range(100):
        if len(platform.runs) == 2:
            break
        await asyncio.sleep(0.05)
    else:
        raise RuntimeError("the job never started")
    await asyncio.sleep(1.0)
    if trouble:
        for number in range(2):
            await platform.add_executor(f"i-{6 + number}", labels=("a", "r0"), zone="z0")
            platform.note(f"i-{6 + number}: new, takes the place of i-{number}")
            platform.executors[f"i-{number}"].drain(linger_s=1.0)
            await asyncio.sleep(GAP_S)
    await asyncio.sleep(4.0 + 8.0)
    await asyncio.sleep(FINISH_S)
    return await platform.stuck()


main(play, HERE, trouble=sys.argv[1:] != ["0"])
