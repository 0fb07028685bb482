"""TLS must let only processes with a certificate of the authority in."""

import ssl

import pytest
import trio
import trio.testing
import trustme

from coltsfootspar.calls import CallContext, CallReply, CallRequest, Priority
from coltsfootspar.exceptions import LinkError, WireError
from coltsfootspar.routing import create_peer_links, serve_peers
from coltsfootspar.wire import Address, Identity
from coltsfootspar.wire.tls import create_tls_contexts


def create_contexts(folder, authority):
    certificate = authority.issue_cert("127.0.0.1")
    authority.cert_pem.write_to_path(folder / "authority.pem")
    certificate.private_key_pem.write_to_path(folder / "key.pem")
    certificate.cert_chain_pems[0].write_to_path(folder / "certificate.pem")
    names = ("certificate.pem", "key.pem", "authority.pem")
    return create_tls_contexts(*(str(folder / name) for name in names))


async def serve_call(request):
    return CallReply(200, body=request.body)


async def send_call(server_tls, client_tls):
    identity = Identity("test", "b", "node", b"key")
    async with trio.open_nursery() as nursery:
        server = await nursery.start(
            lambda task_status: serve_peers(
                Address("127.0.0.1", 0),
                identity,
                serve_call,
                ssl_context=server_tls,
                task_status=task_status,
            )
        )
        links = create_peer_links(
            Identity("test", "a", "node", b"key"),
            lambda node_id: server.address,
            ssl_context=client_tls,
        )
        nursery.start_soon(links.run)
        await trio.testing.wait_all_tasks_blocked(0.01)
        deadline = trio.current_time() + 5
        context = CallContext("a" * 32, "b" * 16, deadline, Priority(5, 1), 0)
        request = CallRequest("specs", "GET", "/", (), b"whole", context)
        try:
            return await links.call("b", request)
        finally:
            nursery.cancel_scope.cancel()


def assert_not_connected(group):
    error = group.exceptions[0]
    while isinstance(error, BaseExceptionGroup):
        error = error.exceptions[0]
    assert (error.code, error.may_have_run) == ("unreachable", False)


async def test_call_over_tls(tmp_path):
    contexts = create_contexts(tmp_path, trustme.CA())
    reply = await send_call(contexts.server, contexts.client)
    assert reply.body == b"whole"


async def test_certificate_of_another_authority_is_turned_away(tmp_path):
    contexts = create_contexts(tmp_path, trustme.CA())
    (tmp_path / "other").mkdir()
    others = create_contexts(tmp_path / "other", trustme.CA())
    with pytest.RaisesGroup(LinkError, flatten_subgroups=True) as caught:
        await send_call(contexts.server, others.client)
    assert_not_connected(caught.value)


async def test_client_without_tls_is_turned_away(tmp_path):
    contexts = create_contexts(tmp_path, trustme.CA())
    with pytest.RaisesGroup(LinkError, flatten_subgroups=True) as caught:
        await send_call(contexts.server, None)
    assert_not_connected(caught.value)


def test_missing_file_is_an_error(tmp_path):
    with pytest.raises(WireError):
        create_tls_contexts(*["missing.pem"] * 3)


def test_old_protocol_versions_are_off(tmp_path):
    contexts = create_contexts(tmp_path, trustme.CA())
    for context in (contexts.client, contexts.server):
        assert context.minimum_version >= ssl.TLSVersion.TLSv1_2
        assert context.verify_mode is ssl.CERT_REQUIRED
