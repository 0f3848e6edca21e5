"""Stand-in for the platform's lagging list of VMs."""

import random

import gevent
import msgspec

from lacewingmill.adapters.http_server import HttpRequest, HttpResponse, HttpServer
from lacewingmill.codec import encode_json
from lacewingmill.models import Vm
from standins.faults import Faults, apply_faults, query_value

__all__ = ["VmListStandin"]


class VmListStandin:
    """A list whose readers see changes after a lag.

    :param lag_s: delay until a change shows, in seconds.
    """

    def __init__(self, address: str, vms: list[Vm], lag_s: float = 1.0):
        self.faults = Faults()
        self._shown = {vm.name: vm for vm in vms}
        self._lag_s = lag_s
        self._rng = random.Random(0)
        self._service = HttpServer(address, self._handle)

    def start(self) -> None:
        """Listen."""
        self._service.start()

    def _handle(self, req: HttpRequest) -> HttpResponse:
        return apply_faults(self.faults, self._rng, self._dispatch, req)

    def _dispatch(self, req: HttpRequest) -> HttpResponse:
        if req.method == "GET":
            return HttpResponse(200, encode_json(tuple(self._shown.values())))
        if req.method == "PUT":
            vm = msgspec.json.decode(req.body, type=Vm)
            gevent.spawn_later(self._lag_s, self._shown.__setitem__, vm.name, vm)
            return HttpResponse()
        name = query_value(req, "name")
        gevent.spawn_later(self._lag_s, self._shown.pop, name, None)
        return HttpResponse()
