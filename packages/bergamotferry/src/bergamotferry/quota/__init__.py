"""Usage caps of accounts over all hosts: the leader's ledger and the hosts' shares."""
