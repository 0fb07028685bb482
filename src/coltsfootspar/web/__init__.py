"""HTTP servers and clients."""

from coltsfootspar.web.interfaces import (
    HttpClient,
    HttpHandler,
    HttpRequest,
    HttpResponse,
    HttpServer,
    WebLimits,
)

__all__ = [
    "HttpClient",
    "HttpHandler",
    "HttpRequest",
    "HttpResponse",
    "HttpServer",
    "WebLimits",
]
