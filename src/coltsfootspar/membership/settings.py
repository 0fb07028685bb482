"""Times and limits of the membership protocol."""

import attrs

__all__ = ["MembershipLimits"]


@attrs.frozen
class MembershipLimits:
    """Times in seconds, sizes in bytes.

    :param probe_period: time between two probes of random members of the own
        data centre.
    :param probe_timeout: wait for the direct answer before indirect probes.
    :param probe_deadline: wait for any answer before suspicion.
    :param indirect_probes: members that are asked to probe in place of the own
        node.
    :param suspicion: time to refute a suspicion, for each power of ten of the
        size of the data centre, at least one.
    :param silence: a node that got no answer from anybody for this time blames
        itself, and neither suspects others nor declares them dead.
    :param relay_period: time between two probes of each other data centre.
    :param relay_timeout: wait for the answer of another data centre.
    :param unreachable: a data centre without an answer for this time is marked
        unreachable. Includes the change of relays and the spread of the times.
    :param gossip_period: time in which news are collected into one datagram.
    :param gossip_fanout: members that get the news in each period.
    :param relay_transmissions: transmissions of one news by each relay to each
        other data centre.
    :param sync_period: time between two digests to a random member.
    :param busy_period: the same after a digest that differed.
    :param join_period: time between two digests while joining.
    :param rate: budget of the node, bytes a second, headers included.
    :param burst: bytes of the budget that may be sent at once.
    """

    probe_period: float = 1.0
    probe_timeout: float = 0.3
    probe_deadline: float = 0.9
    indirect_probes: int = 3
    suspicion: float = 4.0
    silence: float = 3.0
    relay_period: float = 1.0
    relay_timeout: float = 0.9
    unreachable: float = 10.0
    gossip_period: float = 0.1
    gossip_fanout: int = 4
    relay_transmissions: int = 3
    sync_period: float = 5.0
    busy_period: float = 1.0
    join_period: float = 0.5
    rate: float = 20_000.0
    burst: float = 6_000.0
