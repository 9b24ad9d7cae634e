"""Decision logic of the bergamotferry router.

State is kept in tables, and the logic is plain functions over them. Nothing in this
package does I/O, reads a clock or creates a source of randomness: time and random
generators are arguments, so that a run can be reproduced exactly from its seed.
"""

__version__ = "0.1.0"
