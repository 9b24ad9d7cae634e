"""Stand-in upstreams, load, faults and measurements.

The checker here reads the stand-ins' own records and shares no code with what it
checks. This package is no part of the product: it alone starts processes.
"""
