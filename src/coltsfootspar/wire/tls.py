"""TLS contexts for connections between processes."""

import ssl

import attrs

from coltsfootspar.exceptions import WireError

__all__ = ["TlsContexts", "create_tls_contexts"]


@attrs.frozen
class TlsContexts:
    """Contexts of both ends; both ask for a certificate of the authority."""

    client: ssl.SSLContext
    server: ssl.SSLContext


def create_tls_contexts(certificate: str, key: str, authority: str) -> TlsContexts:
    """Reads the files and creates the contexts.

    :param certificate: file with the certificate chain, PEM.
    :param key: file with the private key, PEM.
    :param authority: file with the certificate that signs all others, PEM.
    :raises WireError: when a file cannot be used.
    """
    try:
        client = ssl.create_default_context(ssl.Purpose.SERVER_AUTH, cafile=authority)
        server = ssl.create_default_context(ssl.Purpose.CLIENT_AUTH, cafile=authority)
        for context in (client, server):
            context.load_cert_chain(certificate, key)
            context.minimum_version = ssl.TLSVersion.TLSv1_2
    except OSError as error:
        raise WireError(f"TLS files cannot be used: {error}", code="tls") from error
    server.verify_mode = ssl.CERT_REQUIRED
    # The shared key and the process id in Hello identify the peer; hosts are
    # addressed by IP and may be replaced under the same certificate.
    client.check_hostname = False
    return TlsContexts(client, server)
