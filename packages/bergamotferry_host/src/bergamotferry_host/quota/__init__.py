"""Usage caps in direct mode: hosts spend shares, the leader's control host grants."""
