"""Addresses of the form IP:PORT."""


def split_address(address: str) -> tuple[str, int]:
    """Return the IP number and the port of a checked address."""
    ip, _, port = address.rpartition(":")
    return ip, int(port)
