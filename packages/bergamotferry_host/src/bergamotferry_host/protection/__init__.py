"""Requests that end upstreams: where they may run."""
