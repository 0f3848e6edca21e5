"""The service that knows which workers may run a step of an advised queue."""

import attrs
import msgspec

from lacewingmill.adapters.http_client import HttpClient
from lacewingmill.exceptions import TransportError
from lacewingmill.jobs.model import TaskId
from lacewingmill.jobs.ports import Advice
from lacewingmill.platform.answers import decode_answer

__all__ = ["HttpAdvisor"]


@attrs.frozen
class _Good:
    good: list[tuple[str, str]]  # worker and ticket
    valid_ms: float = 0


class HttpAdvisor:
    """Asks the advice service over HTTP.

    :param address: ``host:port`` of the service.
    """

    def __init__(self, address: str, caller: HttpClient):
        self._address = address
        self._caller = caller

    def advise(self, task: TaskId, workers: list[str], *, timeout_s: float) -> Advice:
        """Return the tickets of those workers that may run the step of a task.

        :raises TransportError: when no usable answer came.
        """
        # The service names a step like a task, without the index.
        step = f"{task.job_id}.{task.occurrence}.{task.step}"
        reply = self._caller.call(
            self._address,
            "POST",
            "/advise",
            body=msgspec.json.encode({"step": step, "workers": workers}),
            headers={"Content-Type": "application/json"},
            timeout_s=timeout_s,
        )
        if reply.status != 200:
            raise TransportError(f"answered {reply.status}", step="advise", peer=self._address)
        answer = decode_answer(reply, _Good, step="advise", peer=self._address)
        return Advice(dict(answer.good), answer.valid_ms / 1000)
