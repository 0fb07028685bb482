"""Rate limit of the datagrams that a node sends."""

import attrs
import trio

__all__ = ["RateBudget"]

# Prevents a busy loop when rounding errors make a wait almost zero.
_MIN_WAIT_SECONDS = 0.001


@attrs.define(eq=False)
class RateBudget:
    """Token bucket counted in bytes.

    Admits at most ``rate + burst`` bytes in any second, not counting those that
    :meth:`charge` admits unconditionally.

    :param rate: refill rate, bytes per second.
    :param burst: capacity, bytes.
    """

    rate: float
    burst: float
    _tokens: float = attrs.field(init=False)
    _refilled_at: float = attrs.field(factory=trio.current_time)

    def __attrs_post_init__(self) -> None:
        self._tokens = self.burst

    def try_acquire(self, size: int, reserve: float = 0.0) -> bool:
        """Takes tokens if enough are available.

        :param size: bytes.
        :param reserve: bytes that must remain for traffic of higher priority.
        :returns: whether the tokens were taken.
        """
        self._refill()
        if self._tokens < size + reserve:
            return False
        self._tokens -= size
        return True

    def charge(self, size: int) -> None:
        """Takes tokens unconditionally, so that the balance can become negative.

        :param size: bytes.
        """
        self._refill()
        self._tokens -= size

    async def acquire(self, size: int, reserve: float = 0.0) -> None:
        """Waits until enough tokens are available, and takes them.

        :param size: bytes.
        :param reserve: bytes that must remain; ``size + reserve`` must not exceed
            the burst.
        """
        while True:
            if self.try_acquire(size, reserve):
                return
            deficit = size + reserve - self._tokens
            await trio.sleep(max(_MIN_WAIT_SECONDS, deficit / self.rate))

    def _refill(self) -> None:
        now = trio.current_time()
        gained = (now - self._refilled_at) * self.rate
        self._tokens = min(self.burst, self._tokens + gained)
        self._refilled_at = now
