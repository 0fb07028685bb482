"""Requests of a replica process for a seat, or to leave its own one."""

from collections.abc import Callable

import attrs
from absl import logging

from coltsfootspar.exceptions import FrameError
from coltsfootspar.fleet.common import create_fleet_identity, list_peer_seeds
from coltsfootspar.fleet.peers import send_single_request
from coltsfootspar.fleet.seats import SEAT_SERVICE_PREFIX, SeatMap
from coltsfootspar.membership import Membership
from coltsfootspar.replication.messages import JoinReply, JoinRequest
from coltsfootspar.settings.fleet import FleetReplicaSettings
from coltsfootspar.wire import Address, parse_address, replication as codec

__all__ = ["SeatRequester", "create_seat_requester"]

_JOIN_TIMEOUT_SECONDS = 0.4


@attrs.define(eq=False)
class SeatRequester:
    """Asks the hosts that may hold a seat, and learns from each reply.

    :param _get_settings: returns the settings in force.
    :param _seats: last known holders of the seats.
    """

    _get_settings: Callable[[], FleetReplicaSettings]
    _seats: SeatMap
    _membership: Membership

    async def request_seat(self, *, is_leaving: bool = False) -> JoinReply | None:
        """Asks the known peers for a seat, and the leader that the first one names.

        :param is_leaving: true to offer the own seat instead.
        :returns: an offer, else a reply of the leader, else None.
        """
        leader_reply = None
        for address in self.list_peer_addresses():
            reply = await self.ask(address, is_leaving=is_leaving)
            if reply is None:
                continue
            if reply.replica_id:
                return reply
            if reply.leader_address and leader_reply is None:
                leader = parse_address(reply.leader_address)
                leader_reply = await self.ask(leader, is_leaving=is_leaving)
                if leader_reply is not None and leader_reply.replica_id:
                    return leader_reply
        return leader_reply

    async def ask(
        self, address: Address, *, is_leaving: bool = False
    ) -> JoinReply | None:
        """Asks one host.

        :param is_leaving: true to offer the own seat.
        :returns: None when no valid reply arrives in time.
        """
        settings = self._get_settings()
        request = JoinRequest(str(self._own_address), settings.id, is_leaving)
        reply_message = await send_single_request(
            address,
            create_fleet_identity(settings, settings.id, "client"),
            codec.encode_join(request),
            _JOIN_TIMEOUT_SECONDS,
        )
        if reply_message is None:
            return None
        try:
            reply = codec.decode_join_reply(reply_message)
        except FrameError as error:
            logging.warning("Malformed join reply from %s: %s", address, error)
            return None
        self._seats.update(reply.seats, reply.index)
        self._seats.add_holders(reply.holders)
        return reply

    def list_peer_addresses(self) -> list[Address]:
        """Lists the other hosts that may hold a seat, the seeds first."""
        known = list_peer_seeds(self._get_settings())
        known += self._seats.list_holders()
        known += [
            member.peer_address
            for member in self._membership.list_members()
            if member.service.startswith(SEAT_SERVICE_PREFIX)
        ]
        unique = dict.fromkeys(known)
        unique.pop(self._own_address, None)
        return list(unique)

    @property
    def _own_address(self) -> Address:
        settings = self._get_settings()
        return Address(settings.host, settings.peer_port)


def create_seat_requester(
    get_settings: Callable[[], FleetReplicaSettings],
    seats: SeatMap,
    membership: Membership,
) -> SeatRequester:
    """Creates the requester of a replica process.

    :param get_settings: returns the settings in force.
    :param seats: updated with what the replies tell.
    """
    return SeatRequester(get_settings, seats, membership)
