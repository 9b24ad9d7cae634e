"""The daemon of an entry host: network and disk I/O, without any policy."""
