"""HTTP client of the platform's list of machines, each with the worker that it runs."""

from urllib.parse import urlencode

import attrs

from lacewingmill.adapters.http_client import HttpClient
from lacewingmill.adapters.replies import decode_reply
from lacewingmill.codec import decode_json
from lacewingmill.exceptions import TransportError

__all__ = ["HttpMachineList"]


@attrs.frozen
class _Machine:
    id: str | None = None  # id of its worker; none while the machine is off or being moved


@attrs.frozen
class _Page:
    machines: list[_Machine]
    next_token: str | None = None


class HttpMachineList:
    """Client of the service that lists machines.

    :param address: ``host:port`` of the service.
    """

    def __init__(self, address: str, client: HttpClient):
        self._address = address
        self._client = client

    def workers(self, *, timeout_s: float) -> frozenset[str]:
        """Return the ids of all workers that run on machines, whether in the store or not.

        :param timeout_s: time limit for each page, in seconds.
        :raises TransportError: when the list could not be read completely.
        """
        workers: set[str] = set()
        seen_tokens: set[str] = set()
        token: str | None = ""
        while token is not None:
            page = self._fetch_page(token, timeout_s)
            workers.update(machine.id for machine in page.machines if machine.id)
            seen_tokens.add(token)
            token = page.next_token or None
            if token in seen_tokens:
                raise TransportError(
                    "the list of machines repeats a page", step="machines", peer=self._address
                )
        return frozenset(workers)

    def _fetch_page(self, token: str, timeout_s: float) -> _Page:
        path = "/machines?" + urlencode({"page_token": token}) if token else "/machines"
        reply = self._client.call(self._address, "GET", path, timeout_s=timeout_s)
        if reply.status != 200:
            raise TransportError(f"answered {reply.status}", step="machines", peer=self._address)
        return decode_reply(reply, _Page, step="machines", peer=self._address, decoder=decode_json)
