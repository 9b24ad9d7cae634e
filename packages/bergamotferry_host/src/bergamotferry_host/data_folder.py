"""The data folder of a durable host: its identity, its lock and its groups' logs.

The folder is bound to the host that made it. A folder that is new carries a new
incarnation, except at the first start of a deployment, so that a host that lost its
disk is a new member and can't vote on what it has forgotten.
"""

import fcntl
import json
import os
import secrets
from dataclasses import dataclass
from pathlib import Path

from .disk_log import DiskLog, write_file

BOOTSTRAP_INCARNATION = "bootstrap"
_IDENTITY_NAME = "identity.json"
_LOCK_NAME = "lock"


class DataFolderError(OSError):
    """The folder can't be used; the text says why."""


@dataclass(slots=True)
class DataFolder:
    """A locked data folder."""

    path: Path
    incarnation: str
    lock_descriptor: int

    @classmethod
    def from_config(cls, path: Path, host: str, is_bootstrap: bool) -> "DataFolder":
        """Lock a folder and read, or make, its identity.

        Raises
        ------
        DataFolderError
            If it can't be written, another process holds it, or it belongs to another
            host.
        """
        try:
            path.mkdir(parents=True, exist_ok=True)
            lock_descriptor = os.open(path / _LOCK_NAME, os.O_RDWR | os.O_CREAT, 0o600)
        except OSError as error:
            raise DataFolderError(f"{path}: {error.strerror}") from error
        try:
            fcntl.flock(lock_descriptor, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except OSError as error:
            os.close(lock_descriptor)
            raise DataFolderError(f"{path}: another process uses it") from error
        incarnation = _read_or_make_identity(path, host, is_bootstrap)
        return cls(path, incarnation, lock_descriptor)

    def close(self) -> None:
        """Unlock the folder."""
        os.close(self.lock_descriptor)

    def open_log(self, group: str) -> DiskLog:
        """Open the log of a group."""
        return DiskLog.from_path(self.path, group.replace(":", "_"))


def _read_or_make_identity(path: Path, host: str, is_bootstrap: bool) -> str:
    identity_path = path / _IDENTITY_NAME
    if identity_path.exists():
        try:
            identity = json.loads(identity_path.read_text())
            owner, incarnation = str(identity["host"]), str(identity["incarnation"])
        except (ValueError, KeyError, TypeError) as error:
            raise DataFolderError(f"{identity_path}: damaged") from error
        if owner != host:
            raise DataFolderError(f"{path}: belongs to host {owner}")
        return incarnation
    if any(path.glob("*.log")):
        # A new incarnation must not speak for what another one promised.
        raise DataFolderError(f"{path}: holds logs but no identity")
    incarnation = BOOTSTRAP_INCARNATION if is_bootstrap else secrets.token_hex(8)
    identity = {"host": host, "incarnation": incarnation}
    write_file(identity_path, json.dumps(identity).encode())
    return incarnation
