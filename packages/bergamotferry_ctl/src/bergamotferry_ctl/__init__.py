"""The ``bergamotferryctl`` operator tool."""
