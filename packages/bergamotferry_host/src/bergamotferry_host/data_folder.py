"""The data folder of a durable host: its identity, its lock and its groups' logs.

A folder belongs to the host that created it. A new folder gets a new incarnation,
except at the first start of a deployment. A host that lost its disk is therefore a new
member of its groups: its votes can't contradict votes and entries that it lost.
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
    """The data folder can't be used; the message gives the reason."""


@dataclass(slots=True)
class DataFolder:
    """A data folder that this process has locked."""

    path: Path
    incarnation: str
    lock_descriptor: int

    @classmethod
    def from_config(cls, path: Path, host: str, is_bootstrap: bool) -> "DataFolder":
        """Lock a folder, and read or create its identity.

        Raises
        ------
        DataFolderError
            If the folder can't be written, is locked by another process, belongs to
            another host, has a damaged identity, or holds logs but no identity.
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
        incarnation = _read_or_create_identity(path, host, is_bootstrap)
        return cls(path, incarnation, lock_descriptor)

    def close(self) -> None:
        """Unlock the folder."""
        os.close(self.lock_descriptor)

    def open_log(self, group: str) -> DiskLog:
        """Open the log of a group."""
        return DiskLog.from_path(self.path, group.replace(":", "_"))


def _read_or_create_identity(path: Path, host: str, is_bootstrap: bool) -> str:
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
        # A new incarnation must not act on votes and entries of an earlier one.
        raise DataFolderError(f"{path}: holds logs but no identity")
    incarnation = BOOTSTRAP_INCARNATION if is_bootstrap else secrets.token_hex(8)
    identity = {"host": host, "incarnation": incarnation}
    write_file(identity_path, json.dumps(identity).encode())
    return incarnation
