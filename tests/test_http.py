"""Connections on loopback: silence, crossed answers, bounds, slow and malformed clients."""

import gevent
import gevent.server
import gevent.socket
import pytest

from lacewingmill.adapters import http_server
from lacewingmill.adapters.http_client import BLOCK_BYTES, HttpClient
from lacewingmill.adapters.http_server import HttpResponse, HttpServer
from lacewingmill.adapters.peers import DIGEST_HEADER, REQUEST_HEADER, RemoteCell, digest_of
from lacewingmill.adapters.targets import HttpExecutors
from lacewingmill.cells.messages import JobPhase, JobReport
from lacewingmill.codec import encode
from lacewingmill.exceptions import (
    AnswerMismatch,
    CallTimeout,
    ConnectFailed,
    NotOwner,
    TransportError,
)
from lacewingmill.models import Role, Vm
from standins.relay import SilentRelay


def echo(req):
    return HttpResponse(200, req.body, "text/plain")


@pytest.fixture
def service():
    served = []

    def start(handle):
        server = HttpServer("127.0.0.1:0", handle)
        server.start()
        served.append(server)
        return f"127.0.0.1:{server.port}"

    yield start
    for server in served:
        server.stop()


def post(caller, address, body=b"x", timeout_s=2.0, **headers):
    return caller.call(address, "POST", "/", body=body, headers=headers, timeout_s=timeout_s)


def test_timeout_retires_every_connection_that_predates_it(service):
    relay = SilentRelay("127.0.0.1:0", service(echo))
    relay.start()
    caller = HttpClient()
    calls = [gevent.spawn(post, caller, relay.address) for _ in range(5)]
    gevent.joinall(calls, raise_error=True)
    opened = relay.accepted
    relay.silence_open()
    with pytest.raises(CallTimeout):
        post(caller, relay.address, timeout_s=0.3)
    for number in range(5):
        assert post(caller, relay.address, str(number).encode()).body == str(number).encode()
    assert relay.accepted == opened + 1
    relay.stop()


def test_connection_with_an_unread_answer_is_never_used_again(service):
    def slow_first(req):
        if req.body == b"slow":
            gevent.sleep(0.3)
        return HttpResponse(200, req.body)

    address = service(slow_first)
    caller = HttpClient()
    with pytest.raises(CallTimeout):
        post(caller, address, b"slow", timeout_s=0.1)
    gevent.sleep(0.4)
    for number in range(10):
        assert post(caller, address, str(number).encode()).body == str(number).encode()


def test_call_given_up_leaves_no_connection_behind(service):
    """A call that is ended from outside closes its connection, its unread answer with it."""

    def slow_first(req):
        if req.body == b"slow":
            gevent.sleep(0.2)
        return HttpResponse(200, req.body)

    relay = SilentRelay("127.0.0.1:0", service(slow_first))
    relay.start()
    caller = HttpClient()
    call = gevent.spawn(post, caller, relay.address, b"slow")
    gevent.sleep(0.1)
    call.kill()
    gevent.sleep(0.2)
    assert post(caller, relay.address, b"next").body == b"next"
    assert relay.accepted == 2
    relay.stop()


PARTS = 12


def sender(pause_s):
    """Return a server that sends an answer in parts and pauses after each of them."""

    def send(sock, _):
        sock.recv(4096)
        length = PARTS * BLOCK_BYTES
        sock.sendall(f"HTTP/1.1 200 OK\r\nContent-Length: {length}\r\n\r\n".encode())
        for _ in range(PARTS):
            sock.sendall(b"x" * BLOCK_BYTES)
            gevent.sleep(pause_s)

    server = gevent.server.StreamServer(("127.0.0.1", 0), send)
    server.start()
    return server


# Guards against a takeover that never ended: a VM with a slow link gave up reading the jobs.
def test_a_large_answer_over_a_slow_link_is_read_whole():
    limit_s = 5.0  # the pauses together are longer, each of them by far shorter
    server = sender(pause_s=0.5)
    try:
        reply = post(HttpClient(), f"127.0.0.1:{server.server_port}", timeout_s=limit_s)
    finally:
        server.stop()
    assert len(reply.body) == PARTS * BLOCK_BYTES


def test_a_large_answer_that_stops_in_the_middle_is_given_up():
    server = sender(pause_s=600.0)
    try:
        with pytest.raises(CallTimeout):
            post(HttpClient(), f"127.0.0.1:{server.server_port}", timeout_s=0.5)
    finally:
        server.stop(timeout=0)


# Guards against a soak that hung: its own time-out was taken for that of a call, again and again.
def test_a_time_out_around_a_call_is_not_taken_for_that_of_the_call():
    server = sender(pause_s=600.0)
    try:
        with pytest.raises(gevent.Timeout), gevent.Timeout(0.2):
            post(HttpClient(), f"127.0.0.1:{server.server_port}", timeout_s=60.0)
    finally:
        server.stop(timeout=0)


def test_refused_connection_is_known_to_have_sent_nothing():
    with pytest.raises(ConnectFailed):
        post(HttpClient(), "127.0.0.1:1")


def test_answer_cut_short_is_an_error():
    def cut(sock, _):
        sock.recv(4096)
        sock.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\nshort")
        sock.close()

    server = gevent.server.StreamServer(("127.0.0.1", 0), cut)
    server.start()
    with pytest.raises(TransportError):
        post(HttpClient(), f"127.0.0.1:{server.server_port}")
    server.stop(timeout=0)


def test_crossed_answer_of_an_executor_is_rejected(service):
    address = service(lambda req: HttpResponse(200, b"", headers={"Idempotency-Key": "other"}))
    target = Vm("e0", Role.EXECUTOR, address, "d")
    with pytest.raises(AnswerMismatch):
        HttpExecutors(HttpClient()).send(target, "POST", "/", b"", "t", "mine", timeout_s=2.0)


def test_crossed_or_damaged_answer_of_a_peer_is_rejected(service):
    body = encode(JobReport("j", JobPhase.RUNNING))
    marks = {"request": "j", "digest": digest_of(body), "status": 200}

    def answer(_):
        headers = {REQUEST_HEADER: marks["request"], DIGEST_HEADER: marks["digest"]}
        return HttpResponse(marks["status"], body, headers=headers)

    cell = RemoteCell(HttpClient(), service(answer))
    assert cell.report("j", 0.0).phase is JobPhase.RUNNING
    with pytest.raises(AnswerMismatch):
        cell.report("k", 0.0)
    marks["digest"] = digest_of(b"other")
    with pytest.raises(AnswerMismatch):
        cell.report("j", 0.0)
    marks.update(digest=digest_of(body), status=421)
    with pytest.raises(NotOwner):
        cell.report("j", 0.0)


def test_bodies_and_headers_are_bounded_and_others_are_served(service, monkeypatch):
    monkeypatch.setattr(http_server, "MAX_BODY_BYTES", 1000)
    address = service(echo)
    caller = HttpClient()
    assert post(caller, address, b"x" * 1001).status == 413
    for count, status in ((80, 431), (150, 400)):  # the standard library's own bound is 100
        many = {f"x-{number}": "1" for number in range(count)}
        assert post(caller, address, b"x", **many).status == status
    assert post(caller, address, b"fine").body == b"fine"


def raw(address, data, wait_s=2.0):
    host, port = address.split(":")
    sock = gevent.socket.create_connection((host, int(port)))
    sock.settimeout(wait_s)
    sock.sendall(data)
    received = b""
    try:
        while block := sock.recv(4096):
            received += block
    except OSError:
        pass
    sock.close()
    return received


def test_malformed_requests_get_400(service):
    address = service(echo)
    for data in (
        b"nonsense\r\n\r\n",
        b"POST / HTTP/9.9\r\n\r\n",
        b"POST / HTTP/1.1\r\nContent-Length: -5\r\n\r\n",
        b"POST / HTTP/1.1\r\nContent-Length: many\r\n\r\n",
    ):
        assert raw(address, data).startswith(b"HTTP/1.1 400"), data
    assert post(HttpClient(), address, b"fine").body == b"fine"


def test_slow_clients_are_timed_out(service, monkeypatch):
    monkeypatch.setattr(http_server, "READ_TIMEOUT_S", 0.2)
    address = service(echo)
    assert b" 408 " in raw(address, b"POST / HTTP/1.1\r\nContent-Length: 10\r\n\r\nabc")
    assert raw(address, b"POST / HTTP/1.1\r\nHost: x\r\nX-Half: ").startswith(b"HTTP/1.1 400")


def test_crash_of_one_request_harms_no_other(service):
    seen = []

    def crash(req):
        if req.body == b"bad":
            raise RuntimeError("bug")
        return echo(req)

    server = HttpServer("127.0.0.1:0", crash, seen.append)
    server.start()
    address = f"127.0.0.1:{server.port}"
    caller = HttpClient()
    assert post(caller, address, b"bad").status == 500
    assert post(caller, address, b"fine").body == b"fine"
    assert len(seen) == 1
    server.stop()
