"""Holders of keys that are asked for more than they can do."""
