"""Gossip membership: failure detection, dissemination, data centre relays."""

from coltsfootspar.membership.interfaces import DatagramPort
from coltsfootspar.membership.members import KnownTableVersion, Member, NodeIdentity
from coltsfootspar.membership.ports import UdpPort, open_udp_port
from coltsfootspar.membership.service import Membership, create_membership
from coltsfootspar.membership.settings import MembershipLimits
from coltsfootspar.membership.transport import TransportCounters
from coltsfootspar.wire.membership import MemberStatus

__all__ = [
    "DatagramPort",
    "KnownTableVersion",
    "Member",
    "MemberStatus",
    "Membership",
    "MembershipLimits",
    "NodeIdentity",
    "TransportCounters",
    "UdpPort",
    "create_membership",
    "open_udp_port",
]
