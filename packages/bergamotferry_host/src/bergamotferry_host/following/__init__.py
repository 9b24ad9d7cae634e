"""Which control host a host follows, and what a follower is told repeatedly."""
