"""Result of an attempt and whether it permits another one."""

import attrs

from coltsfootspar.calls import CallReply, Outcome
from coltsfootspar.exceptions import LinkError

__all__ = ["AttemptResult"]

MIN_SERVER_ERROR_STATUS = 500


@attrs.frozen
class AttemptResult:
    """Reply or error of one attempt."""

    reply: CallReply | None = None
    error: LinkError | None = None

    @property
    def may_have_run(self) -> bool:
        """False only when the attempt certainly did not run."""
        if self.reply is None:
            return self.error.may_have_run
        return self.reply.outcome is not Outcome.NOT_RUN

    @property
    def is_refused(self) -> bool:
        """True when the node that the attempt was sent to refused the call.

        A refusal from deeper in the call tree does not count.
        """
        reply = self.reply
        return (
            reply is not None and reply.refusal is not None and not reply.refusal.below
        )

    @property
    def is_draining(self) -> bool:
        """True when the node takes no new work."""
        return self.is_refused and self.reply.refusal.code == "draining"

    @property
    def is_overloaded(self) -> bool:
        """True when the node refuses all calls of this priority at present.

        A refusal because of the call's own deadline says nothing about others.
        """
        codes = ("draining", "deadline-unreachable")
        return self.is_refused and self.reply.refusal.code not in codes

    @property
    def is_unreachable(self) -> bool:
        """True when the connection failed, not the call."""
        return self.error is not None and self.error.code in ("link", "unreachable")

    @property
    def is_server_error(self) -> bool:
        """True when the attempt failed in another way than by a refusal."""
        reply = self.reply
        if reply is None:
            return self.error.code != "too-large"
        return reply.refusal is None and reply.status >= MIN_SERVER_ERROR_STATUS

    @property
    def is_failed(self) -> bool:
        """True when another attempt might succeed."""
        return self.is_refused or self.is_server_error

    @property
    def is_final(self) -> bool:
        """True for a reply that makes other attempts of the call useless."""
        return not self.is_failed and self.may_have_run
