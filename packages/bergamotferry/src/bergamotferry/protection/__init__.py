"""Protection of upstreams from requests that end them.

`quarantine` serves the mode with a dispatcher, `crash_records` the direct mode. Both
are rules without I/O; hosts report the ends and ask for verdicts.
"""
