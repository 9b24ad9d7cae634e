"""Memory of a host: what it holds for connections and requests, and its allocator."""
