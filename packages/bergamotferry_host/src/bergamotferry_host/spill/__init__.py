"""Sends requests to other data centres by shares and by what this host finds there."""
