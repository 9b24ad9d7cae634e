"""Stand-in upstreams, load generation, fault injection and measurements.

This package is for tests and measurements and is not part of the product; it is the
only package that starts processes. Its checker reads the records that the stand-in
upstreams write and shares no code with the router that it checks.
"""
