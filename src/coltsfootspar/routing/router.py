"""Router of a node."""

import random

import attrs
import trio

from coltsfootspar.calls import CallReply, CallRequest
from coltsfootspar.routing.attempts import RoutedCall
from coltsfootspar.routing.hedging import HedgeTimer
from coltsfootspar.routing.interfaces import Directory, PeerLink, Router
from coltsfootspar.routing.latency import LinkDelays
from coltsfootspar.routing.services import ServiceState, Site
from coltsfootspar.table import Row

__all__ = ["create_router"]


@attrs.define(eq=False)
class _NodeRouter:
    """Routes calls by what it observes of each destination."""

    _site: Site
    _directory: Directory
    _link: PeerLink
    _random: random.Random
    _delays: LinkDelays = attrs.field(factory=LinkDelays)
    _hedges: HedgeTimer = attrs.field(factory=HedgeTimer)
    _services: dict[str, ServiceState] = attrs.field(factory=dict)

    async def call(self, request: CallRequest, row: Row) -> CallReply:
        """Sends a call to one of the candidates of its service."""
        service = self._get_service(request.service)
        candidates = self._directory.list_candidates(request.service)
        service.update(candidates, trio.current_time())
        service.budget.record_call()
        statistics = service.get_row(row.name)
        allowance = request.context.allowance
        call = RoutedCall(
            request, row, service, self._link, statistics, self._hedges, allowance
        )
        return await call.run()

    def _get_service(self, name: str) -> ServiceState:
        service = self._services.get(name)
        if service is None:
            service = ServiceState(self._site, self._random, self._delays)
            self._services[name] = service
        return service


def create_router(
    node_id: str,
    region: str,
    data_centre: str,
    directory: Directory,
    link: PeerLink,
    source: random.Random,
) -> Router:
    """Creates the router of a node.

    :param node_id: id of this node.
    :param region: region of this node.
    :param data_centre: data centre of this node.
    :param directory: lists the candidates of each service.
    :param link: carries the calls.
    :param source: random numbers for the choice of candidates.
    """
    return _NodeRouter(Site(region, data_centre), directory, link, source)
