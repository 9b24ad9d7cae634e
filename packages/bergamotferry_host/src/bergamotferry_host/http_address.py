"""Splits addresses of the form IP:PORT."""


def split_address(address: str) -> tuple[str, int]:
    """Return the IP address and the port of a validated address.

    Raises
    ------
    ValueError
        If the port is not a number.
    """
    ip, _, port = address.rpartition(":")
    return ip, int(port)
