"""Requests to be sent to another node or to the backend server."""

from coltsfootspar.relay.calls import (
    Call,
    HeaderNames,
    OutgoingCall,
    compute_request_digest,
)
from coltsfootspar.relay.client import (
    INLINE_REQUEST_BYTES,
    OutgoingRequest,
    StreamedBody,
)
from coltsfootspar.relay.exchanges import Exchange
from coltsfootspar.relay.identification import Identity
from coltsfootspar.relay.messages import Headers, encode_request, filter_headers

__all__ = ["create_outgoing_call", "encode_outgoing_call"]

# A body up to this size is buffered, so that it can be sent again to another node.
MAX_BUFFERED_BODY_BYTES = 1 << 20


async def create_outgoing_call(
    exchange: Exchange,
    call: Call,
    names: HeaderNames,
    identity: Identity | None = None,
) -> OutgoingCall:
    """Creates the call for a request, buffering its body if it is short enough.

    A longer body is streamed, and the call cannot be retried then.

    :param identity: organisation whose key the request carries.
    :raises TransferError: when the caller disconnects.
    :raises TooLargeError: when the body exceeds the limit for clients.
    """
    request = exchange.request
    if not request.is_complete:
        await exchange.buffer_body(MAX_BUFFERED_BODY_BYTES)
    headers = filter_headers(request, names.not_forwarded)
    body, stream, streamed_digest = None, None, 0
    if request.is_complete:
        body = request.take_body() if request.has_body else None
    else:
        stream = StreamedBody(exchange.read_body, request.content_length)
        start = b"".join(request.body_parts)[:MAX_BUFFERED_BODY_BYTES]
        streamed_digest = compute_request_digest(
            request.method, request.target, call.caller, start
        )
    return OutgoingCall(
        call=call,
        method=request.method,
        target=request.target,
        headers=headers,
        request_id=request.find(names.request_id.lower()),
        body=body,
        stream=stream,
        sent_to=exchange.sent_to,
        streamed_digest=streamed_digest,
        identity=identity,
    )


def encode_outgoing_call(
    outgoing: OutgoingCall, extra_headers: Headers, names: HeaderNames
) -> OutgoingRequest:
    """Encodes a call with its body, or with the framing of a streamed body.

    A longer body is not copied: each attempt would hold one more of it.

    :param extra_headers: headers to add for the next hop.
    """
    headers = [*outgoing.headers, *extra_headers]
    stream, body, long_body = outgoing.stream, outgoing.body, b""
    if body is not None and len(body) > INLINE_REQUEST_BYTES:
        headers.append((b"Content-Length", b"%d" % len(body)))
        body, long_body = None, body
    if stream is not None and stream.length is None:
        headers.append((b"Transfer-Encoding", b"chunked"))
    elif stream is not None:
        headers.append((b"Content-Length", b"%d" % stream.length))
    return OutgoingRequest(
        encode_request(outgoing.method, outgoing.target, headers, body),
        outgoing.request_id,
        names.request_id.lower(),
        outgoing.method == b"HEAD",
        stream,
        long_body,
    )
