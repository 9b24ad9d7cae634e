"""How many bytes a host may hold for its callers and upstreams, and who must wait."""
