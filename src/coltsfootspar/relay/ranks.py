"""Constants of the order of admission."""

__all__ = ["BUCKETS"]

# Groups into which requests of equal importance are divided at random.
BUCKETS = 128
