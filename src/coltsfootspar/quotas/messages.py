"""Messages by which tokens pass from the ledger to lenders and nodes."""

import attrs

__all__ = [
    "Grant",
    "RefillReply",
    "RefillRequest",
    "TokenAsk",
    "TokenReply",
    "TokenRequest",
]


@attrs.frozen
class TokenAsk:
    """Tokens wanted for one organisation.

    :param count: tokens for requests that wait.
    :param spare: tokens for requests that are expected before the next message.
    """

    organisation: int
    count: int
    spare: int = 0


@attrs.frozen
class Grant:
    """Answer to a :class:`TokenAsk`.

    :param count: tokens granted.
    :param refused: waiting requests that get no token.
    :param retry_after: when a token is expected for the first of these, seconds.
    """

    organisation: int
    count: int
    refused: int = 0
    retry_after: float = 0.0


@attrs.frozen
class TokenRequest:
    """Request of a node to a lender.

    :param number: number of the request; its reply has the same.
    """

    asks: tuple[TokenAsk, ...]
    number: int = 0


@attrs.frozen
class TokenReply:
    """Reply of a lender to a node.

    :param is_available: false when some asks are not answered, since the lender has
        no contact with the leader.
    :param lifetime: time from the sending of the request after which the tokens
        lapse, seconds.
    """

    is_available: bool
    lifetime: float = 0.0
    grants: tuple[Grant, ...] = ()
    number: int = 0


@attrs.frozen
class RefillRequest:
    """Request of a lender to the ledger.

    :param term: term of the lender's replica when it sends this.
    :param echo: latest stamp of the ledger that the lender has received in this term;
        0 for none.
    :param has_share: false while the fallback share of the lender's seat may still be
        spent by its former holder.
    """

    term: int
    echo: float = 0.0
    has_share: bool = True
    asks: tuple[TokenAsk, ...] = ()


@attrs.frozen
class RefillReply:
    """Reply of the ledger to a lender.

    :param stamp: clock of the ledger when it sends this, seconds; 0 when the replica
        does not lead, or has not led for long enough.
    :param grants: answers to all asks; empty while the ledger is not confirmed.
    """

    stamp: float = 0.0
    grants: tuple[Grant, ...] = ()
