"""HTTP service by gevent's WSGI server, with bounded bodies, headers and waiting."""

import contextlib
import socket
from collections.abc import Callable, Mapping
from http.client import HTTPException

import attrs
import gevent
import gevent.socket
from gevent.pywsgi import WSGIHandler, WSGIServer

from lacewingmill.exceptions import ListenFailed

__all__ = ["HttpAnswer", "HttpRequest", "HttpService", "split_address"]

MAX_BODY_BYTES = 8 * 1024 * 1024
MAX_HEADER_COUNT = 64
READ_TIMEOUT_S = 10.0
IDLE_TIMEOUT_S = 120.0
LISTEN_BACKLOG = 1024
REASONS = {
    200: "OK",
    201: "Created",
    202: "Accepted",
    204: "No Content",
    400: "Bad Request",
    401: "Unauthorized",
    404: "Not Found",
    405: "Method Not Allowed",
    408: "Request Timeout",
    409: "Conflict",
    410: "Gone",
    413: "Content Too Large",
    421: "Misdirected Request",
    422: "Unprocessable Content",
    429: "Too Many Requests",
    431: "Request Header Fields Too Large",
    500: "Internal Server Error",
    502: "Bad Gateway",
    503: "Service Unavailable",
    504: "Gateway Timeout",
}


@attrs.frozen
class HttpRequest:
    """A request whose body was read whole.

    :param headers: header fields with lower-case names.
    :param query: the raw query string.
    :param connection: ``host:port`` of the other end.
    """

    method: str
    path: str
    query: str
    headers: Mapping[str, str]
    body: bytes
    connection: str = ""


@attrs.frozen
class HttpResponse:
    """An answer to send."""

    status: int = 200
    body: bytes = b""
    content_type: str = "application/json"
    headers: Mapping[str, str] = attrs.field(factory=dict)


def split_address(address: str) -> tuple[str, int]:
    """Split ``host:port``.

    :raises ValueError: when the port is not a number.
    """
    host, _, port = address.rpartition(":")
    return host, int(port)


class _BodyRejected(Exception):
    """The request's body or headers cannot be accepted.

    :param status: HTTP status to answer with.
    """

    def __init__(self, status: int, message: str):
        super().__init__(message)
        self.status = status


class _Handler(WSGIHandler):
    """Bounds the time in which a request's head must arrive, and tells idle connections apart."""

    def read_requestline(self):
        self.server.idle.add(self.socket)
        try:
            return super().read_requestline()
        finally:
            self.server.idle.discard(self.socket)

    def read_request(self, raw_requestline):
        try:
            with gevent.Timeout(READ_TIMEOUT_S, False):
                return super().read_request(raw_requestline)
        except HTTPException as exc:  # a client's fault, not worth a traceback
            raise ValueError(str(exc)) from exc
        raise ValueError("request head took too long")


class _Server(WSGIServer):
    """WSGI server with TCP_NODELAY on every connection.

    ``idle`` holds the sockets of open connections on which no request has begun.
    """

    def __init__(self, *args, **kwargs):
        super().__init__(*args, **kwargs)
        self.idle: set[gevent.socket.socket] = set()

    def handle(self, sock, address):
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        sock.settimeout(IDLE_TIMEOUT_S)
        super().handle(sock, address)


class HttpServer:
    """A listening HTTP service.

    :param address: ``host:port`` to listen on.
    :param handle: called with each request; its exceptions become a bare 500.
    :param on_error: called with an exception that ``handle`` let through.
    """

    def __init__(
        self,
        address: str,
        handle: Callable[[HttpRequest], HttpResponse],
        on_error: Callable[[BaseException], None] | None = None,
    ):
        self.address = address
        self._handle = handle
        self._on_error = on_error
        self._server = _Server(
            split_address(address),
            self._application,
            handler_class=_Handler,
            log=None,
            error_log=None,
            backlog=LISTEN_BACKLOG,
        )
        self.in_flight = 0
        self._draining = False

    def start(self) -> None:
        """Begin to accept connections.

        :raises ListenFailed: when the address cannot be listened on.
        """
        try:
            self._server.start()
        except OSError as exc:
            raise ListenFailed(
                f"cannot listen: {exc.strerror}", step="listen", peer=self.address
            ) from exc

    @property
    def port(self) -> int:
        """The port listened on."""
        return self._server.server_port

    def drain(self) -> None:
        """Go on serving, but end each connection with its next answer."""
        self._draining = True

    def close(self) -> None:
        """Stop accepting and end idle connections; requests in flight go on.

        Clients must not find a connection open that nobody reads any more.
        """
        self._server.close()
        for sock in list(self._server.idle):
            with contextlib.suppress(OSError):  # the client has closed it meanwhile
                sock.shutdown(socket.SHUT_RD)

    def stop(self) -> None:
        """Stop accepting and cut what is still open."""
        self._server.stop(timeout=0)

    def _application(self, environ, start_response):
        self.in_flight += 1
        try:
            answer = self._answer(environ)
        finally:
            self.in_flight -= 1
        fields = [
            ("Content-Type", answer.content_type),
            ("Content-Length", str(len(answer.body))),
            *answer.headers.items(),
        ]
        if self._draining:
            fields.append(("Connection", "close"))
        start_response(f"{answer.status} {REASONS.get(answer.status, 'Status')}", fields)
        return [answer.body]

    def _answer(self, environ) -> HttpResponse:
        try:
            req = _read_request(environ)
        except _BodyRejected as exc:
            return HttpResponse(
                exc.status, str(exc).encode(), "text/plain", headers={"Connection": "close"}
            )
        try:
            return self._handle(req)
        except Exception as exc:  # one bad request must not harm another
            if self._on_error is not None:
                self._on_error(exc)
            return HttpResponse(500, b"internal error", "text/plain")


def _read_request(environ) -> HttpRequest:
    headers = {
        name[5:].replace("_", "-").lower(): value
        for name, value in environ.items()
        if name.startswith("HTTP_")
    }
    if len(headers) > MAX_HEADER_COUNT:
        raise _BodyRejected(431, f"more than {MAX_HEADER_COUNT} header fields")
    headers["content-type"] = environ.get("CONTENT_TYPE") or "application/octet-stream"
    return HttpRequest(
        environ["REQUEST_METHOD"],
        environ["PATH_INFO"],
        environ.get("QUERY_STRING", ""),
        headers,
        _read_body(environ),
        f"{environ.get('REMOTE_ADDR')}:{environ.get('REMOTE_PORT')}",
    )


def _read_body(environ) -> bytes:
    length = environ.get("CONTENT_LENGTH")
    if length and int(length) > MAX_BODY_BYTES:
        raise _BodyRejected(413, f"body larger than {MAX_BODY_BYTES} bytes")
    try:
        with gevent.Timeout(READ_TIMEOUT_S):
            body = environ["wsgi.input"].read(MAX_BODY_BYTES + 1)
    except gevent.Timeout as exc:
        raise _BodyRejected(408, "body took too long to arrive") from exc
    except OSError as exc:
        raise _BodyRejected(400, "body could not be read") from exc
    if len(body) > MAX_BODY_BYTES:
        raise _BodyRejected(413, f"body larger than {MAX_BODY_BYTES} bytes")
    if length and len(body) != int(length):
        raise _BodyRejected(400, f"body cut short: {len(body)} of {length} bytes")
    return body
