"""Client accounts at a host in direct mode: callers' headers and the state's age."""
