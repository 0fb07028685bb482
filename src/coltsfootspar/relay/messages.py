"""HTTP/1.1 messages as they arrive and as they are sent."""

import collections
import http

import attrs
import httptools

from coltsfootspar.exceptions import MalformedRequestError

__all__ = [
    "Headers",
    "Request",
    "RequestReader",
    "Response",
    "ResponseReader",
    "encode_chunk",
    "encode_request",
    "encode_response",
    "filter_headers",
]

Headers = list[tuple[bytes, bytes]]

LAST_CHUNK = b"0\r\n\r\n"
_CONNECTION_HEADERS = frozenset(
    {
        b"connection",
        b"content-length",
        b"keep-alive",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
    }
)
_REASONS = {status.value: status.phrase.encode() for status in http.HTTPStatus}
_NO_BODY_STATUSES = frozenset({204, 304})
_FIRST_FINAL_STATUS = 200


@attrs.define(eq=False)
class _Message:
    """A message that may still be arriving.

    :param headers: names and values as they were sent.
    :param index: values by lower-case name; the last one of a repeated name.
    :param parts: pieces of the body that were not taken yet.
    :param received: bytes of the body that have arrived.
    """

    headers: Headers = attrs.field(factory=list)
    index: dict[bytes, bytes] = attrs.field(factory=dict)
    parts: list[bytes] = attrs.field(factory=list)
    received: int = 0
    has_head: bool = False
    is_complete: bool = False
    keeps_connection: bool = True

    def find(self, name: bytes) -> bytes | None:
        """Returns the value of a header.

        :param name: lower-case name.
        """
        return self.index.get(name)

    @property
    def content_length(self) -> int | None:
        """Announced length of the body, None when there is none."""
        value = self.index.get(b"content-length")
        return int(value) if value is not None else None

    def take_body(self) -> bytes:
        """Returns the part of the body that has arrived, and forgets it."""
        parts, self.parts = self.parts, []
        return parts[0] if len(parts) == 1 else b"".join(parts)


@attrs.define(eq=False)
class Request(_Message):
    """A request.

    :param target: path and query as they were sent.
    :param arrived: trio clock when its head was complete, seconds.
    """

    method: bytes = b""
    target: bytes = b""
    arrived: float = 0.0

    @property
    def has_body(self) -> bool:
        """True when a body was announced, an empty one included."""
        return b"content-length" in self.index or b"transfer-encoding" in self.index


@attrs.define(eq=False)
class Response(_Message):
    """A response.

    :param ends_with_connection: true when the body has no announced end.
    """

    status: int = 0
    reason: bytes = b""
    ends_with_connection: bool = False


@attrs.define(eq=False)
class _Reader:
    """Collects messages from the bytes of one connection.

    :param messages: messages that have begun, the oldest first.
    :param head_bytes: bytes received since the head of the last message began.
    """

    messages: collections.deque = attrs.field(factory=collections.deque)
    head_bytes: int = 0
    _last: _Message | None = None

    def on_header(self, name: bytes, value: bytes) -> None:
        last = self._last
        last.headers.append((name, value))
        key = name.lower()
        if key == b"host" and key in last.index:
            raise MalformedRequestError("more than one Host header")
        last.index[key] = value

    def on_body(self, body: bytes) -> None:
        self._last.parts.append(body)
        self._last.received += len(body)

    def on_message_complete(self) -> None:
        self._last.is_complete = True
        self._last = None

    def feed(self, data: bytes) -> None:
        """Takes bytes of the connection.

        :raises MalformedRequestError: when they are not HTTP/1.1.
        """
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserError as error:
            cause = error.__context__
            if isinstance(cause, MalformedRequestError):
                raise cause from error
            raise MalformedRequestError(f"not HTTP/1.1: {error}") from error
        except httptools.HttpParserUpgrade as error:
            raise MalformedRequestError("upgrades are not served") from error
        if self._last is not None and not self._last.has_head:
            self.head_bytes += len(data)
        else:
            self.head_bytes = 0


@attrs.define(eq=False)
class RequestReader(_Reader):
    """Reads requests."""

    _parser: httptools.HttpRequestParser = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        self._parser = httptools.HttpRequestParser(self)

    def on_message_begin(self) -> None:
        self._last = Request()
        self.messages.append(self._last)

    def on_url(self, url: bytes) -> None:
        self._last.target += url

    def on_headers_complete(self) -> None:
        last = self._last
        last.method = self._parser.get_method()
        last.keeps_connection = self._parser.should_keep_alive()
        last.has_head = True


@attrs.define(eq=False)
class ResponseReader(_Reader):
    """Reads responses."""

    _parser: httptools.HttpResponseParser = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        self._parser = httptools.HttpResponseParser(self)

    def on_message_begin(self) -> None:
        self._last = Response()
        self.messages.append(self._last)

    def on_status(self, reason: bytes) -> None:
        self._last.reason += reason

    def on_headers_complete(self) -> None:
        last = self._last
        last.status = self._parser.get_status_code()
        last.keeps_connection = self._parser.should_keep_alive()
        last.ends_with_connection = (
            b"content-length" not in last.index
            and b"transfer-encoding" not in last.index
            and last.status not in _NO_BODY_STATUSES
            and last.status >= _FIRST_FINAL_STATUS
        )
        last.has_head = True

    def finish(self) -> None:
        """Notes that the peer closed the connection in an orderly way."""
        last = self._last
        if last is not None and last.has_head and last.ends_with_connection:
            last.is_complete = True
            last.keeps_connection = False


def filter_headers(message: _Message, drop: frozenset[bytes]) -> Headers:
    """Returns the headers that concern more than one connection.

    :param drop: further lower-case names to leave out.
    """
    named = message.index.get(b"connection")
    if named:
        drop = drop.union(part.strip().lower() for part in named.split(b","))
    return [
        pair
        for pair in message.headers
        if (key := pair[0].lower()) not in _CONNECTION_HEADERS and key not in drop
    ]


def encode_request(
    method: bytes, target: bytes, headers: Headers, body: bytes | None
) -> bytes:
    """Encodes a request with its whole body, or its head.

    :param headers: with the framing of the body when that follows later.
    :param body: None for a request without a body or one whose body follows.
    """
    return _encode(b"%s %s HTTP/1.1" % (method, target), headers, body)


def encode_response(
    status: int, headers: Headers, body: bytes | None, reason: bytes = b""
) -> bytes:
    """Encodes a response with its whole body, or its head.

    :param headers: with the framing of the body when that follows later.
    :param body: None when the body follows or cannot be.
    """
    reason = reason or _REASONS.get(status, b"Unknown")
    return _encode(b"HTTP/1.1 %d %s" % (status, reason), headers, body)


def _encode(start: bytes, headers: Headers, body: bytes | None) -> bytes:
    lines = [start, *(b"%s: %s" % pair for pair in headers)]
    if body is not None:
        lines.append(b"Content-Length: %d" % len(body))
    return b"\r\n".join(lines) + b"\r\n\r\n" + (body or b"")


def encode_chunk(data: bytes) -> bytes:
    """Encodes a piece of a body without an announced length."""
    return b"%x\r\n%s\r\n" % (len(data), data)
