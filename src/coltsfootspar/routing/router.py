"""Router that balances load, retries and hedges by observed latency."""

import random

import attrs
import trio

from coltsfootspar.calls import CallReply, CallRequest
from coltsfootspar.routing.attempts import RoutedCall
from coltsfootspar.routing.hedging import HedgeTimer
from coltsfootspar.routing.interfaces import Directory, PeerLink, Router
from coltsfootspar.routing.latency import LinkDelays
from coltsfootspar.routing.services import Location, ServiceState
from coltsfootspar.table import Row

__all__ = ["create_router"]


@attrs.define(eq=False)
class _NodeRouter:
    """Routes calls by the observed latency and admission of each destination."""

    _location: Location
    _directory: Directory
    _link: PeerLink
    _random: random.Random
    _delays: LinkDelays = attrs.field(factory=LinkDelays)
    _hedge_timer: HedgeTimer = attrs.field(factory=HedgeTimer)
    _services: dict[str, ServiceState] = attrs.field(factory=dict)

    async def call(self, request: CallRequest, row: Row) -> CallReply:
        """Sends a call to one of the candidates of its service.

        :raises RoutingError: when no complete reply arrived in time.
        """
        service = self._get_service(request.service)
        candidates = self._directory.list_candidates(request.service)
        service.update(candidates, trio.current_time())
        service.budget.record_call()
        statistics = service.get_statistics(row.name)
        allowance = request.context.allowance
        call = RoutedCall(
            request, row, service, self._link, statistics, self._hedge_timer, allowance
        )
        return await call.run()

    def _get_service(self, name: str) -> ServiceState:
        service = self._services.get(name)
        if service is None:
            service = ServiceState(self._location, self._random, self._delays)
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
    :param link: sends the calls.
    :param source: random numbers for load balancing and backoff.
    """
    return _NodeRouter(Location(region, data_centre), directory, link, source)
