"""In-process implementations of the ports, on a clock that tests advance."""

import gevent

from lacewingmill.adapters.targets import ReleaseOrder
from lacewingmill.exceptions import (
    CallTimeout,
    ConnectFailed,
    FenceRejected,
    JobRefused,
    StoreConflict,
    StoreUnavailable,
)
from lacewingmill.models import Role, Vm
from lacewingmill.ports import ApplicationResponse, SyncResponse, WatchResponse
from standins.store import StoreTable
from standins.workers import LeaseConflict, LeaseTable, StaleFence


def make_workers(count=6, accelerators=8, per_rack=3):
    """Return workers in racks, each rack a failure domain."""
    return tuple(
        Vm(
            f"w{number}",
            Role.WORKER,
            f"127.0.0.1:{number + 1}",
            f"d{number // per_rack}",
            rack=f"r{number // per_rack}",
            accelerators=accelerators,
            processors=32,
            memory_gb=128,
        )
        for number in range(count)
    )


class FakeWorkers:
    """Worker port over lease tables in this process.

    Workers in ``silent`` never respond, those in ``failing`` fail every task, and the responses of
    those in ``losing_responses`` are lost. A checkpoint takes ``checkpoint_s``. ``started`` lists
    the gang and the worker of all starts; ``executions`` counts the starts of rank 0 by key,
    without repeated ones and those that resume from a checkpoint.
    """

    def __init__(self, clock, vms, run_s=5.0):
        self.tables = {vm.name: LeaseTable(vm) for vm in vms}
        self.silent = set()
        self.failing = set()
        self.losing_responses = set()
        self.checkpoint_s = 0.0
        self.executions = {}
        self.started = []
        self._clock = clock
        self._run_s = run_s
        gevent.spawn(self._sweep)

    def _sweep(self):
        while True:
            self._clock.sleep(0.1)
            for name, table in self.tables.items():
                for row in table.sweep(self._clock.now(), name in self.failing):
                    row.result = b"answer to " + row.start.key.encode()

    def _call(self, worker, timeout_s, operation):
        if worker.name in self.silent:
            self._clock.sleep(timeout_s)
            raise CallTimeout("no answer", step="order", peer=worker.name)
        try:
            response = operation(self.tables[worker.name])
        except StaleFence as exc:
            raise FenceRejected("a higher fence was accepted", peer=worker.name) from exc
        except LeaseConflict as exc:
            raise JobRefused(str(exc), peer=worker.name) from exc
        if worker.name in self.losing_responses:
            self._clock.sleep(timeout_s)
            raise CallTimeout("answer lost", step="order", peer=worker.name)
        return response

    def lease(self, worker, order, *, timeout_s):
        self._call(worker, timeout_s, lambda t: t.lease(order, self._clock.now()))

    def start(self, worker, order, *, timeout_s):
        def start_member(table):
            row = table.rows.get(order.gang)
            started_before = row is not None and row.executed
            table.start(order, self._run_s - order.done_s, self._clock.now())
            if not started_before and order.rank == 0 and not order.done_s:
                self.executions[order.key] = self.executions.get(order.key, 0) + 1
            self.started.append((order.gang, worker.name))

        self._call(worker, timeout_s, start_member)

    def release(self, worker, gang, fence, *, checkpoint, timeout_s):
        order = ReleaseOrder(gang, fence, checkpoint)
        if checkpoint and self.checkpoint_s and worker.name not in self.silent:
            self._clock.sleep(self.checkpoint_s)
        return self._call(worker, timeout_s, lambda t: t.release(order, self._clock.now()))

    def sync(self, worker, fence, renew, *, after, wait_s):
        def renew_leases(table):
            table.accept_fence(fence)
            return table.renew(renew, self._clock.now())

        renewed = self._call(worker, wait_s + 0.7, renew_leases)
        table = self.tables[worker.name]
        ends_at = self._clock.now() + wait_s
        while table.version == after and self._clock.now() < ends_at:
            self._clock.sleep(0.1)
        if worker.name in self.silent:
            return self._call(worker, 0.7, renew_leases)
        if table.version == after:
            return SyncResponse(table.version, renewed, False)
        return SyncResponse(table.version, renewed, True, table.report())


class FakeStore:
    """Store port over a table in this process.

    All calls fail while ``down`` is set. The responses to the next ``lose_writes`` successful
    writes are lost. ``calls`` counts all calls.
    """

    def __init__(self, clock):
        self.table = StoreTable()
        self.down = False
        self.lose_writes = 0
        self.calls = 0
        self._clock = clock

    def _begin_call(self):
        self.calls += 1
        self.table.expire(self._clock.now())
        if self.down:
            raise StoreUnavailable("down", step="call", peer="store")

    def _end_write(self):
        if self.lose_writes:
            self.lose_writes -= 1
            raise StoreUnavailable("answer lost", step="call", peer="store")

    def get(self, key):
        self._begin_call()
        return self.table.get(key)

    def put(self, key, value, *, expected, lease=""):
        self._begin_call()
        current = self.table.revision_of(key)
        if current != expected:
            raise StoreConflict("another revision", current=current)
        if lease and not self.table.has_lease(lease):
            raise StoreUnavailable("lease has lapsed", step="put", peer="store")
        revision = self.table.put(key, value, lease)
        self._end_write()
        return revision

    def delete(self, key, *, expected):
        self._begin_call()
        if self.table.revision_of(key) != expected:
            raise StoreConflict("another revision", current=self.table.revision_of(key))
        self.table.delete(key)
        self._end_write()

    def list(self, prefix):
        self._begin_call()
        return self.table.entries(prefix)

    def grant_lease(self, ttl_s):
        self._begin_call()
        return self.table.grant(ttl_s, self._clock.now())

    def renew_lease(self, lease):
        self._begin_call()
        return self.table.renew(lease, self._clock.now())

    def watch(self, prefix, *, after, wait_s):
        self._begin_call()
        return WatchResponse(self.table.revision, self.table.changed_after(prefix, after))


class FakeExecutors:
    """Executor port in this process.

    Executors in ``silent`` never respond, and those in ``unreachable`` refuse connections.
    ``executions`` counts the requests that reached an executor, by key.
    """

    def __init__(self, clock, run_s=0.01):
        self.silent = set()
        self.unreachable = set()
        self.executions = {}
        self._clock = clock
        self._run_s = run_s

    def send(self, target, method, path, body, content_type, key, *, timeout_s):
        if target.name in self.unreachable:
            raise ConnectFailed("refused", step="connect", peer=target.name)
        self.executions[key] = self.executions.get(key, 0) + 1
        if target.name in self.silent:
            self._clock.sleep(timeout_s)
            raise CallTimeout("no answer", step="send", peer=target.name)
        self._clock.sleep(self._run_s)
        return ApplicationResponse(200, "text/plain", b"answer to " + key.encode(), target.name)
