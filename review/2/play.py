"""The VM that directs the workers is killed while a late step of a job of 27 steps runs."""

import asyncio
import os
import signal
import sys
import time
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "lib"))

from platform_standin import main, request  # noqa: E402

STEPS = 27
DOWN_S = 3.5  # the killed VM starts again after this time
RECOVERY_S = 12.0
ASKED_S = 6.0  # how long each VM is asked
GRAPH, SHORT, LATER = "000000000000a001", "000000000000a002", "000000000000a003"


def step(**fields):
    return {"count": 1, "cpu": 1000, "mem_mb": 256, "gpu": 1, "est_runtime_ms": 300} | fields


async def play(platform, trouble):
    for number in range(4):
        await platform.add_executor(f"i-{number}", labels=("a", f"r{number // 2}"))
    await platform.start()
    await platform.start_vms()
    graph = [step(after=list(range(number))) if number else step() for number in range(STEPS)]
    spec = f"run_s=0.4 slow={STEPS - 1}:15"
    await platform.submit(platform.vms[0], "ordinary", GRAPH, graph, spec)
    late = f"{GRAPH}.0.{STEPS - 1}.0"
    for _ in range(600):
        if any(run.task == late for run in platform.runs):
            break
        await asyncio.sleep(0.05)
    else:
        raise RuntimeError("the last step never started")
    owner = platform.owner()
    if trouble:
        platform.signal(owner, signal.SIGKILL)
    others = [vm for vm in platform.vms if vm is not owner]
    await platform.submit(others[0], "ordinary", SHORT, [step()], "run_s=0.4")
    await asyncio.sleep(DOWN_S)
    if trouble:
        owner.process.wait()
        platform.start_vm(owner)
        platform.note(f"{owner.name}: started again")
    await asyncio.sleep(RECOVERY_S)
    await platform.submit(others[1], "urgent", LATER, [step()], "run_s=0.4")
    return await check(platform, others)


async def check(platform, untouched):
    """Fault: a VM that nothing was done to gives no answer and keeps the processor busy."""
    broken = []
    await asyncio.sleep(2.0)
    before = {vm: processor_s(vm) for vm in untouched}
    began = time.monotonic()
    ready = {vm: 0 for vm in untouched}
    while time.monotonic() - began < ASKED_S:
        answers = await asyncio.gather(
            *(request(vm.ready, "GET", "/ready", timeout_s=1.0) for vm in untouched)
        )
        for vm, (status, _) in zip(untouched, answers):
            ready[vm] += status != 0
        await asyncio.sleep(0.5)
    passed = time.monotonic() - began
    after = {vm: processor_s(vm) for vm in untouched}
    for vm in untouched:
        told = await platform.state(vm, GRAPH)
        used = after[vm] - before[vm]
        platform.note(
            f"{vm.name}: {ready[vm]} answers to /ready, {used:.1f} s of the processor in "
            f"{passed:.1f} s"
        )
        if not ready[vm] and told == 0 and used > 0.5 * passed:
            broken.append(f"{vm.name} answers nothing and used {used:.1f} s in {passed:.1f} s")
    return broken


def processor_s(vm):
    fields = Path(f"/proc/{vm.process.pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


main(play, HERE, trouble=sys.argv[1:] != ["0"])
