"""The daemon of an entry host: it moves bytes, and holds no policy of its own."""
