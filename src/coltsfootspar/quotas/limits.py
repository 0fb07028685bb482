"""Limits of organisations, and the rules by which tokens keep them."""

import functools
import hashlib
from collections.abc import Iterable

import attrs

from coltsfootspar.routes import Organisation

__all__ = [
    "TOKEN_LIFETIME_SECONDS",
    "Limit",
    "QuotaRules",
    "compute_organisation_id",
    "create_limits",
    "create_quota_rules",
]

# Time from the request of a lender to the ledger until the tokens in the reply lapse.
TOKEN_LIFETIME_SECONDS = 0.25
# Shares of the slack: a larger burst, so that ordinary variation of small
# organisations is not refused, and the first tokens of a new leader, of which several
# may follow each other in one window.
_BURST_SHARE = 1 / 2
_INITIAL_SHARE = 1 / 8
# Leaders that may open a ledger in one window: their elections take a second or more.
_LEADERS_IN_WINDOW = 3
_ID_BYTES = 8


@attrs.frozen
class Limit:
    """Rate and burst of one bucket of tokens.

    :param rate: tokens a second; 0 for no limit.
    :param burst: most tokens that the bucket holds.
    """

    rate: float
    burst: float

    @property
    def is_unlimited(self) -> bool:
        """True when requests need no token."""
        return self.rate <= 0


@attrs.frozen
class QuotaRules:
    """How far the requests of an organisation may exceed its limit in a window.

    :param window: length of the sliding window, seconds.
    :param overage: share of the limit of a window that may be exceeded.
    :param slack: requests that may be exceeded besides.
    """

    window: float = 5.0
    overage: float = 0.1
    slack: float = 20.0

    @property
    def initial_tokens(self) -> float:
        """Tokens of each organisation with which a new ledger starts."""
        return self.slack * _INITIAL_SHARE

    def create_limit(self, organisation: Organisation) -> Limit:
        """Creates the limit of the bucket of an organisation."""
        burst = organisation.burst + self.slack * _BURST_SHARE
        return Limit(self._compute_rate(organisation, burst), burst)

    def _compute_rate(self, organisation: Organisation, burst: float) -> float:
        """Returns the largest rate that keeps to the allowed requests of each window.

        What is spent in a window was granted in that window or up to the lifetime of
        a token before it.

        :param burst: burst of the bucket.
        """
        allowed = self.compute_allowed(organisation)
        first_tokens = self.initial_tokens * _LEADERS_IN_WINDOW
        covered = self.window + TOKEN_LIFETIME_SECONDS
        largest = organisation.rate * (1 + self.overage)
        return min(largest, (allowed - burst - first_tokens) / covered)

    def compute_allowed(self, organisation: Organisation) -> float:
        """Returns how many requests may run in any window."""
        limit = organisation.rate * self.window + organisation.burst
        return limit * (1 + self.overage) + self.slack


@functools.cache
def compute_organisation_id(name: str) -> int:
    """Returns the number that stands for an organisation in messages."""
    digest = hashlib.blake2b(name.encode(), digest_size=_ID_BYTES).digest()
    return int.from_bytes(digest)


def create_limits(
    organisations: Iterable[Organisation], rules: QuotaRules
) -> dict[int, Limit]:
    """Creates the limits of organisations, by their id."""
    return {
        compute_organisation_id(organisation.name): rules.create_limit(organisation)
        for organisation in organisations
    }


def create_quota_rules(window: float, overage: float, slack: float) -> QuotaRules:
    """Creates the rules of a deployment; see :class:`QuotaRules`."""
    return QuotaRules(window, overage, slack)
