"""Incremental parsing and encoding of HTTP/1.1 messages."""

import collections
import http

import attrs
import httptools

from coltsfootspar.exceptions import MalformedRequestError, TooLargeError

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
_HOP_BY_HOP_HEADERS = frozenset(
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
_VALID_STATUSES = range(100, 600)
# Most bytes of chunk sizes, chunk extensions, trailers or blank lines in a row. A peer
# that sends more of them never reaches the end of its message.
MAX_FRAMING_BYTES = 65_536
MAX_RESPONSE_HEADERS = 512
# Longest head of a request unless the connection sets another limit.
MAX_HEAD_BYTES = 16_384
# Memory of a message without headers, and of a header line beside its content: objects
# and entries of the two collections.
_MESSAGE_BYTES = 1_024
_HEADER_BYTES = 320
# Copies of a name and its value: as received, by lower-case name, and encoded again.
_HEADER_COPIES = 3
# Values that are kept of a request whose content was dropped, for its refusal.
_MAX_KEPT_VALUES = 64
# Shorter pieces of a body are joined, since each piece costs some dozen bytes more than
# its content.
_SHORT_PIECE_BYTES = 1_024
_JOINED_PIECE_BYTES = 16_384
# Requests of one connection that are parsed before the first of them is taken; further
# input stays unparsed. A read may hold thousands of short ones.
MAX_PARSED_REQUESTS = 16
# Memory of parsed requests from which on further input stays unparsed.
MAX_PARSED_BYTES = 262_144
# Most input that is parsed at once: many heads fit into the first, and only the part
# of a chunked body may be followed by more requests.
_SLICE_BYTES = 2_048
_CHUNKED_SLICE_BYTES = 16_384


@attrs.define(eq=False)
class _Message:
    """A message that may not have been received completely.

    :param headers: names and values as received.
    :param header_values: values by lower-case name; the last one of a repeated name.
    :param body_parts: pieces of the body that have not been consumed; joined short
        pieces are a ``bytearray``.
    :param received_bytes: size of the body received so far.
    :param head_cost: about the memory that the head takes, bytes.
    :param has_head: true once the start line and all headers were received.
    """

    headers: Headers = attrs.field(factory=list)
    header_values: dict[bytes, bytes] = attrs.field(factory=dict)
    body_parts: list[bytes | bytearray] = attrs.field(factory=list)
    received_bytes: int = 0
    head_cost: int = _MESSAGE_BYTES
    has_head: bool = False
    is_complete: bool = False
    keeps_connection: bool = True

    def find(self, name: bytes) -> bytes | None:
        """Returns the value of a header.

        :param name: lower-case name.
        """
        return self.header_values.get(name)

    @property
    def content_length(self) -> int | None:
        """Value of the Content-Length header; None without one."""
        value = self.header_values.get(b"content-length")
        return int(value) if value is not None else None

    def drop_content(self, *, keeps_values: bool = False) -> None:
        """Frees the head and the part of the body received so far.

        :param keeps_values: true to keep the values of a head with few headers.
        """
        self.body_parts.clear()
        self.headers.clear()
        if not keeps_values or len(self.header_values) > _MAX_KEPT_VALUES:
            self.header_values.clear()

    def take_body(self) -> bytes:
        """Removes and returns the part of the body received so far."""
        body_parts, self.body_parts = self.body_parts, []
        return bytes(body_parts[0]) if len(body_parts) == 1 else b"".join(body_parts)

    def add_body(self, piece: bytes) -> None:
        """Adds a received piece of the body."""
        self.received_bytes += len(piece)
        parts = self.body_parts
        if len(piece) >= _SHORT_PIECE_BYTES:
            parts.append(piece)
        elif (
            parts
            and isinstance(parts[-1], bytearray)
            and len(parts[-1]) < _JOINED_PIECE_BYTES
        ):
            parts[-1] += piece
        else:
            parts.append(bytearray(piece))


@attrs.define(eq=False)
class Request(_Message):
    """A request.

    :param target: path and query as received.
    :param arrived_at: time at which its head was complete, trio clock, seconds.
    """

    method: bytes = b""
    target: bytes = b""
    arrived_at: float = 0.0

    def drop_content(self, *, keeps_values: bool = False) -> None:
        """Frees the head and the part of the body; see :class:`_Message`."""
        super().drop_content(keeps_values=keeps_values)
        self.target = b""

    @property
    def has_body(self) -> bool:
        """True when the headers announce a body, even an empty one."""
        return (
            b"content-length" in self.header_values
            or b"transfer-encoding" in self.header_values
        )


@attrs.define(eq=False)
class Response(_Message):
    """A response.

    :param is_close_delimited: true when the body extends to the end of the
        connection.
    :param is_certain: false when it may belong to an earlier request: it echoes no id,
        and others were sent on its connection before.
    """

    status: int = 0
    reason: bytes = b""
    is_close_delimited: bool = False
    is_certain: bool = True


@attrs.define(eq=False)
class _MessageReader:
    """Parses the messages of one connection.

    :param messages: messages that have started to arrive, oldest first.
    :param head_bytes: bytes received since the start of an incomplete head.
    :param framing_bytes: bytes received outside of a head since the last byte of a
        body.
    """

    messages: collections.deque = attrs.field(factory=collections.deque)
    head_bytes: int = 0
    framing_bytes: int = 0
    _current: _Message | None = None
    _has_progress: bool = False

    def on_header(self, name: bytes, value: bytes) -> None:
        current = self._current
        if current.has_head:
            # A trailer, which must not replace a header.
            return
        current.headers.append((name, value))
        current.head_cost += _HEADER_BYTES + _HEADER_COPIES * (len(name) + len(value))
        key = name.lower()
        if key == b"host" and key in current.header_values:
            raise MalformedRequestError("more than one Host header")
        current.header_values[key] = value

    def on_body(self, body: bytes) -> None:
        self._current.add_body(body)
        self._has_progress = True

    def on_message_complete(self) -> None:
        self._current.is_complete = True
        self._current = None
        self._has_progress = True

    def feed(self, data: bytes) -> None:
        """Parses the next bytes of the connection.

        :raises MalformedRequestError: when they are not valid HTTP/1.1, ask for an
            upgrade, or hold too much framing without a body.
        """
        self._has_progress = False
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserError as error:
            cause = error.__context__
            if isinstance(cause, MalformedRequestError):
                raise cause from error
            raise MalformedRequestError(f"invalid HTTP/1.1: {error}") from error
        except httptools.HttpParserUpgrade as error:
            raise MalformedRequestError(
                "protocol upgrades are not supported"
            ) from error
        if self._current is not None and not self._current.has_head:
            # Data with progress also held the end of the message before the head.
            self.head_bytes = 0 if self._has_progress else self.head_bytes + len(data)
            return
        self.head_bytes = 0
        self.framing_bytes = 0 if self._has_progress else self.framing_bytes + len(data)
        if self.framing_bytes > MAX_FRAMING_BYTES:
            raise MalformedRequestError("too much framing without a body")


@attrs.define(eq=False)
class RequestReader(_MessageReader):
    """Parses requests.

    :param unparsed: input behind the requests that have been parsed.
    :param error: fault in the input behind the requests that have been parsed.
    :param max_head_bytes: longest head.
    """

    unparsed: bytes | memoryview = b""
    error: MalformedRequestError | TooLargeError | None = None
    max_head_bytes: int = MAX_HEAD_BYTES
    _parser: httptools.HttpRequestParser | None = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        self._parser = httptools.HttpRequestParser(self)

    @property
    def has_input(self) -> bool:
        """True when a request, a part of one or a fault has been received."""
        return bool(self.messages or self.unparsed) or self.error is not None

    @property
    def unparsed_bytes(self) -> int:
        """Size of the input that is held for what has not been parsed."""
        unparsed = self.unparsed
        return len(unparsed.obj if isinstance(unparsed, memoryview) else unparsed)

    @property
    def held_bytes(self) -> int:
        """About the memory of all that has been received and not been taken."""
        size = self.unparsed_bytes + self.head_bytes + self.framing_bytes
        for request in self.messages:
            size += request.head_cost + request.received_bytes
        return size

    def drop_input(self, *, keeps_first: bool) -> None:
        """Drops what has been received and not been taken; ends the parsing.

        The body of a request that was taken before is still parsed.

        :param keeps_first: true to keep the first request when it is whole.
        """
        is_first_kept = keeps_first and self.messages and self.messages[0].is_complete
        first = [self.messages[0]] if is_first_kept else []
        if self._current is None or self._current in self.messages:
            self._end_parsing()
        self.messages.clear()
        self.messages.extend(first)
        self.unparsed = b""

    def close(self) -> None:
        """Drops all that is held; further input is ignored."""
        self._end_parsing()
        self.messages.clear()
        self.unparsed, self.error = b"", None

    def _end_parsing(self) -> None:
        """Drops the message that has begun, with what the parser holds of it."""
        self._current = self._parser = None
        self.head_bytes = self.framing_bytes = 0

    def add_input(self, data: bytes) -> None:
        """Parses input until enough requests wait to be taken, and keeps the rest.

        A fault behind whole requests is kept in :attr:`error`, so that they are
        served.

        :raises MalformedRequestError: when the request that was taken last is invalid.
        """
        if self._parser is None:
            return
        size = len(data)
        if self.unparsed or (size > _SLICE_BYTES and size > self._choose_slice()):
            self.unparsed = bytes(self.unparsed) + data if self.unparsed else data
            self._parse_slices()
            return
        try:
            self.feed(data)
        except (MalformedRequestError, TooLargeError) as error:
            self._keep_error(error)

    def feed(self, data: bytes) -> None:
        """Parses the next bytes of the connection.

        :raises MalformedRequestError: when they are not valid HTTP/1.1, ask for an
            upgrade, or hold too much framing without a body.
        :raises TooLargeError: when a head exceeds the limit.
        """
        super().feed(data)
        if self.head_bytes > self.max_head_bytes:
            raise TooLargeError("the request head exceeds the limit")

    def _parse_slices(self) -> None:
        rest = memoryview(self.unparsed)
        while rest:
            size = self._choose_slice()
            try:
                self.feed(rest[:size])
            except (MalformedRequestError, TooLargeError) as error:
                self._keep_error(error)
                rest = b""
                break
            rest = rest[size:]
            if self._has_parsed_enough():
                break
        # An empty view would keep the input that it refers to.
        self.unparsed = rest or b""

    def _has_parsed_enough(self) -> bool:
        messages = self.messages
        if not messages or not messages[0].has_head:
            return False
        parsed_bytes = sum(message.head_cost for message in messages)
        return len(messages) >= MAX_PARSED_REQUESTS or parsed_bytes >= MAX_PARSED_BYTES

    def _choose_slice(self) -> int:
        current = self._current
        if current is None or not current.has_head:
            return _SLICE_BYTES
        length = current.content_length
        if length is None:
            return _CHUNKED_SLICE_BYTES
        return max(_SLICE_BYTES, length - current.received_bytes)

    def _keep_error(self, error: MalformedRequestError | TooLargeError) -> None:
        """Keeps a fault until the whole requests before it have been taken.

        :raises MalformedRequestError: when the request that was taken last is invalid.
        """
        messages = self.messages
        if messages and messages[-1] is self._current:
            messages.pop()
        elif self._current is not None:
            raise error
        # Its frames refer to the input.
        self.error = error.with_traceback(None)
        error.__cause__ = error.__context__ = None

    def on_message_begin(self) -> None:
        self._current = Request()
        self.messages.append(self._current)

    def on_url(self, url: bytes) -> None:
        self._current.target += url
        self._current.head_cost += _HEADER_COPIES * len(url)

    def on_headers_complete(self) -> None:
        current = self._current
        current.method = self._parser.get_method()
        if self._parser.should_upgrade():
            # Refused before it is taken. The parser itself reports it at its end.
            raise MalformedRequestError("protocol upgrades are not supported")
        current.keeps_connection = self._parser.should_keep_alive()
        current.has_head = True


@attrs.define(eq=False)
class ResponseReader(_MessageReader):
    """Parses responses."""

    _parser: httptools.HttpResponseParser = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        self._parser = httptools.HttpResponseParser(self)

    def on_header(self, name: bytes, value: bytes) -> None:
        current = self._current
        if not current.has_head and len(current.headers) >= MAX_RESPONSE_HEADERS:
            raise MalformedRequestError("too many headers")
        super().on_header(name, value)

    def on_message_begin(self) -> None:
        self._current = Response()
        self.messages.append(self._current)

    def on_status(self, reason: bytes) -> None:
        self._current.reason += reason

    def on_headers_complete(self) -> None:
        current = self._current
        current.status = self._parser.get_status_code()
        if current.status not in _VALID_STATUSES:
            raise MalformedRequestError("the status is not an HTTP status")
        current.keeps_connection = self._parser.should_keep_alive()
        current.is_close_delimited = (
            b"content-length" not in current.header_values
            and b"transfer-encoding" not in current.header_values
            and current.status not in _NO_BODY_STATUSES
            and current.status >= _FIRST_FINAL_STATUS
        )
        current.has_head = True

    def feed_eof(self) -> None:
        """Completes a close-delimited response when the peer closes the connection."""
        current = self._current
        if current is not None and current.has_head and current.is_close_delimited:
            current.is_complete = True
            current.keeps_connection = False


def filter_headers(message: _Message, drop: frozenset[bytes]) -> Headers:
    """Returns the end-to-end headers of a message.

    :param drop: lower-case names of further headers to remove.
    """
    connection_options = message.header_values.get(b"connection")
    if connection_options:
        drop = drop.union(
            part.strip().lower() for part in connection_options.split(b",")
        )
    return [
        header
        for header in message.headers
        if (key := header[0].lower()) not in _HOP_BY_HOP_HEADERS and key not in drop
    ]


def encode_request(
    method: bytes, target: bytes, headers: Headers, body: bytes | None
) -> bytes:
    """Encodes a request with its whole body, or only its head.

    :param headers: include the framing of the body if the body is sent separately.
    :param body: None for a request without a body or with one sent separately.
    """
    return _encode(b"%s %s HTTP/1.1" % (method, target), headers, body)


def encode_response(
    status: int, headers: Headers, body: bytes | None, reason: bytes = b""
) -> bytes:
    """Encodes a response with its whole body, or only its head.

    :param headers: include the framing of the body if the body is sent separately.
    :param body: None when the body is sent separately or not allowed.
    :param reason: reason phrase; the standard one for the status when empty.
    """
    reason = reason or _REASONS.get(status, b"Unknown")
    return _encode(b"HTTP/1.1 %d %s" % (status, reason), headers, body)


def _encode(start: bytes, headers: Headers, body: bytes | None) -> bytes:
    lines = [start]
    lines += [b"%s: %s" % header for header in headers]
    if body is not None:
        lines.append(b"Content-Length: %d" % len(body))
    return b"\r\n".join(lines) + b"\r\n\r\n" + (body or b"")


def encode_chunk(data: bytes) -> bytes:
    """Encodes one chunk of a body with chunked transfer coding."""
    return b"%x\r\n%s\r\n" % (len(data), data)
