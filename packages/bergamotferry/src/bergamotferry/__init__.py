"""Decision logic of the bergamotferry router.

Entities stand in tables, and systems are plain functions over them. Nothing in this
package does I/O, reads a clock or draws a random number: time and randomness come in
as arguments, so that a seed replays a run exactly.
"""

__version__ = "0.1.0"
