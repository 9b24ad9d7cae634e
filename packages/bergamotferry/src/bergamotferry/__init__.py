"""Decision logic of the bergamotferry router.

State is kept in tables, and the logic is plain functions over them. Nothing in this
package does I/O, reads a clock or creates a source of randomness: time and random
generators are arguments, so that a run can be reproduced exactly from its seed.

A group is a set of hosts that replicate one log, and the tables that follow from the
log. A deployment has one of two modes:

- With dispatchers, a single host, the dispatcher of an upstream, sends the upstream all
  its requests. The global group holds the configuration and the data centre of each
  shard. A group per data centre holds the owner of each shard and the dispatcher of
  each upstream.
- In direct mode, each host that takes requests sends them to upstreams itself. Control
  hosts replicate the log of the only group, the fleet group, and receive the heartbeats
  of the upstreams.
"""

__version__ = "0.1.0"
