"""HTTP client of the advice service, which decides which workers may run a step of a job."""

import attrs

from lacewingmill.adapters.http_client import HttpClient
from lacewingmill.adapters.replies import decode_reply
from lacewingmill.codec import decode_json, encode_json
from lacewingmill.exceptions import TransportError
from lacewingmill.jobs.model import TaskId
from lacewingmill.jobs.ports import Advice
from lacewingmill.platform.fields import Duration

__all__ = ["HttpAdvisor"]


@attrs.frozen
class _AdviceReply:
    good: list[tuple[str, str]]  # pairs of worker and ticket
    valid_ms: Duration = 0.0


class HttpAdvisor:
    """Client of the advice service.

    :param address: ``host:port`` of the service.
    """

    def __init__(self, address: str, client: HttpClient):
        self._address = address
        self._client = client

    def advise(self, task: TaskId, workers: list[str], *, timeout_s: float) -> Advice:
        """Fetch the tickets of the workers that may run the step of a task.

        :param workers: ids of the workers to ask about.
        :param timeout_s: time limit of the call, in seconds.
        :return: the tickets by worker, and how long they are valid.
        :raises TransportError: when no usable response arrived.
        """
        # A step is named like a task, without the index.
        step = f"{task.job_id}.{task.occurrence}.{task.step}"
        reply = self._client.call(
            self._address,
            "POST",
            "/advise",
            body=encode_json({"step": step, "workers": workers}),
            headers={"Content-Type": "application/json"},
            timeout_s=timeout_s,
        )
        if reply.status != 200:
            raise TransportError(f"answered {reply.status}", step="advise", peer=self._address)
        answer = decode_reply(
            reply, _AdviceReply, step="advise", peer=self._address, decoder=decode_json
        )
        return Advice(dict(answer.good), answer.valid_ms / 1000)
