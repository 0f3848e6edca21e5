"""The platform's list of machines, each with the worker that it runs."""

from urllib.parse import urlencode

import attrs

from lacewingmill.adapters.http_client import HttpClient
from lacewingmill.exceptions import TransportError
from lacewingmill.platform.answers import decode_answer

__all__ = ["HttpMachineList"]


@attrs.frozen
class _Machine:
    id: str | None = None  # of the worker that it runs; none while it is off or moves


@attrs.frozen
class _Page:
    machines: list[_Machine]
    next_token: str | None = None


class HttpMachineList:
    """Reads the list of machines over HTTP.

    :param address: ``host:port`` of the service that holds it.
    """

    def __init__(self, address: str, caller: HttpClient):
        self._address = address
        self._caller = caller

    def workers(self, *, timeout_s: float) -> frozenset[str]:
        """Return the ids of all workers that a machine runs, listed in the store or not.

        :param timeout_s: limit for each page, in seconds.
        :raises TransportError: when the list was not read whole.
        """
        names: set[str] = set()
        tokens: set[str] = set()
        token: str | None = ""
        while token is not None:
            page = self._page(token, timeout_s)
            names.update(machine.id for machine in page.machines if machine.id)
            tokens.add(token)
            token = page.next_token or None
            if token in tokens:
                raise TransportError("pages repeat", step="machines", peer=self._address)
        return frozenset(names)

    def _page(self, token: str, timeout_s: float) -> _Page:
        path = "/machines?" + urlencode({"page_token": token}) if token else "/machines"
        reply = self._caller.call(self._address, "GET", path, timeout_s=timeout_s)
        if reply.status != 200:
            raise TransportError(f"answered {reply.status}", step="machines", peer=self._address)
        return decode_answer(reply, _Page, step="machines", peer=self._address)
