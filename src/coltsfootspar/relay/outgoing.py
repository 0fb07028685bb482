"""Requests on their way to another node or to the backend server."""

from coltsfootspar.relay.calls import Call, HeaderNames, OutgoingCall
from coltsfootspar.relay.client import OutgoingRequest, StreamedBody
from coltsfootspar.relay.messages import Headers, encode_request, filter_headers
from coltsfootspar.relay.server import Exchange

__all__ = ["create_outgoing", "encode_outgoing"]

# A body up to this size is held, so that it can be sent to another node.
BODY_BYTES = 1 << 20


async def create_outgoing(
    exchange: Exchange, call: Call, names: HeaderNames
) -> OutgoingCall:
    """Prepares a request for being passed on.

    A body that is not too long is read first, so that it can be sent again.

    :raises TransferError: when the caller breaks off.
    """
    request = exchange.request
    if not request.is_complete:
        await exchange.buffer_body(BODY_BYTES)
    headers = filter_headers(request, names.replaced)
    body, stream = None, None
    if request.is_complete:
        body = request.take_body() if request.has_body else None
    else:
        stream = StreamedBody(exchange.read_body, request.content_length)
    return OutgoingCall(
        call=call,
        method=request.method,
        target=request.target,
        headers=headers,
        request_id=request.find(names.request_id.lower()),
        body=body,
        stream=stream,
    )


def encode_outgoing(
    outgoing: OutgoingCall, extra: Headers, names: HeaderNames
) -> OutgoingRequest:
    """Encodes a request with its body, or with the framing of a body that follows.

    :param extra: headers for the receiver, besides those of the request.
    """
    headers = [*outgoing.headers, *extra]
    stream = outgoing.stream
    if stream is not None and stream.length is None:
        headers.append((b"Transfer-Encoding", b"chunked"))
    elif stream is not None:
        headers.append((b"Content-Length", b"%d" % stream.length))
    return OutgoingRequest(
        encode_request(outgoing.method, outgoing.target, headers, outgoing.body),
        outgoing.request_id,
        names.request_id.lower(),
        outgoing.method == b"HEAD",
        stream,
    )
