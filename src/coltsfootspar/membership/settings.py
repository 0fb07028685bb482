"""Periods, timeouts and limits of the membership protocol."""

import attrs

__all__ = ["MembershipLimits"]


@attrs.frozen
class MembershipLimits:
    """Periods and timeouts in seconds, sizes in bytes.

    :param probe_period: interval between probes of members of the same data
        centre.
    :param probe_timeout: time to wait for a direct acknowledgement before
        indirect probes are requested.
    :param probe_deadline: time from the first probe, without a direct or indirect
        acknowledgement, after which the member is suspected.
    :param indirect_probes: number of members asked to probe on behalf of this
        node.
    :param suspicion_timeout: time in which a member can refute a suspicion,
        multiplied by the decimal logarithm of the size of the data centre, or by
        one if that is larger.
    :param isolation_timeout: time without any acknowledgement after which a node
        takes itself to be isolated, and neither suspects other members nor
        declares them dead.
    :param relay_period: interval between probes of each other data centre.
    :param relay_timeout: time to wait for an acknowledgement from another data
        centre.
    :param unreachable_timeout: time without an acknowledgement after which a data
        centre is marked unreachable. Covers the replacement of failed relays and
        the dissemination of the contact times.
    :param gossip_period: time in which updates are collected into one datagram.
    :param gossip_fanout: members that receive the updates in each period.
    :param relay_transmissions: transmissions of one update by each relay to each
        other data centre.
    :param sync_period: interval between digests sent to a random member.
    :param diverged_sync_period: the same interval while the last received digest
        differed.
    :param join_period: interval between digests while joining.
    :param rate: send rate limit of the node, bytes per second, headers included.
    :param burst: bytes that may be sent at once.
    """

    probe_period: float = 1.0
    probe_timeout: float = 0.3
    probe_deadline: float = 0.9
    indirect_probes: int = 3
    suspicion_timeout: float = 4.0
    isolation_timeout: float = 3.0
    relay_period: float = 1.0
    relay_timeout: float = 0.9
    unreachable_timeout: float = 10.0
    gossip_period: float = 0.1
    gossip_fanout: int = 4
    relay_transmissions: int = 3
    sync_period: float = 5.0
    diverged_sync_period: float = 1.0
    join_period: float = 0.5
    rate: float = 20_000.0
    burst: float = 6_000.0
